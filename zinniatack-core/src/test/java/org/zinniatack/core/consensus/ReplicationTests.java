package org.zinniatack.core.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests of the messages that a leader sends to followers that do not answer. They guard
 * against a leader that keeps sending while half of the followers are cut off for seconds
 * under load, and fills its memory with messages that their connections cannot take.
 */
class ReplicationTests {

	private static final Membership MEMBERS = new Membership(new TreeSet<>(Set.of("a", "b", "c")), new TreeSet<>());

	private static final int ENTRY_BYTES = 64 * 1024;

	private static final long TERM = 1;

	/** Six seconds without a connection, in rounds of the heartbeat interval. */
	private static final int ROUNDS = 60;

	private static final long ROUND_MS = 100;

	/**
	 * At this bound a dozen followers take less than a fifth of 96 MB of direct memory.
	 */
	private static final long MAX_SENT_BYTES = 1536 * 1024;

	private final MemoryLog log = new MemoryLog(Snapshot.empty(), List.of());

	private final Replication replication = new Replication(ReplicaSettings.defaults("a"), this.log, TERM, 0);

	private long nowMs = 1_000;

	@BeforeEach
	void addEntries() {
		this.replication.track(MEMBERS, 0);
		addEntry();
	}

	private void addEntry() {
		this.log.append(
				new LogEntry(this.log.lastIndex() + 1, TERM, LogEntry.Kind.COMMAND, MEMBERS, new byte[ENTRY_BYTES]));
	}

	private List<ConsensusMessage.AppendRequest> send(String to, boolean heartbeat) {
		List<ConsensusMessage> messages = new ArrayList<>();
		this.replication.sendTo(to, 0, heartbeat, this.nowMs, messages);
		return messages.stream().map(ConsensusMessage.AppendRequest.class::cast).toList();
	}

	private void answer(String from, boolean success, long matchIndex, long rejectedIndex) {
		this.replication.onResponse(
				new ConsensusMessage.AppendResponse(from, "a", TERM, success, matchIndex, rejectedIndex, this.nowMs),
				this.nowMs);
	}

	private long bytesSentWithoutAnswers(String to) {
		long bytes = 0;
		for (int round = 0; round < ROUNDS; round++) {
			this.nowMs += ROUND_MS;
			for (int entry = 0; entry < 4; entry++) {
				addEntry();
			}
			for (ConsensusMessage.AppendRequest request : send(to, true)) {
				bytes += request.entries().stream().mapToLong((entry) -> entry.command().length).sum();
			}
		}
		return bytes;
	}

	@Test
	void aFollowerThatFallsSilentGetsNoMoreThanAWindowOfEntries() {
		answer("b", true, 0, 0);
		assertThat(bytesSentWithoutAnswers("b"), lessThan(MAX_SENT_BYTES));
	}

	@Test
	void aFollowerThatWasNeverHeardGetsProbesWithoutEntries() {
		assertThat(bytesSentWithoutAnswers("b"), is(0L));
	}

	@Test
	void aFollowerWithAFullWindowStillGetsHeartbeats() {
		answer("b", true, 0, 0);
		bytesSentWithoutAnswers("b");
		List<ConsensusMessage.AppendRequest> heartbeats = send("b", true);
		assertThat(heartbeats.size(), is(1));
		assertThat(heartbeats.get(0).entries(), empty());
	}

	@Test
	void aFollowerThatComesBackGetsAllThatItMissed() {
		answer("b", true, 0, 0);
		bytesSentWithoutAnswers("b");
		answer("b", false, 0, send("b", true).get(0).previousIndex());
		long held = 0;
		while (held < this.log.lastIndex()) {
			this.nowMs += ROUND_MS;
			long before = held;
			for (ConsensusMessage.AppendRequest request : send("b", true)) {
				assertThat(request.previousIndex(), is(held));
				held += request.entries().size();
				answer("b", true, held, 0);
			}
			assertThat(held == 0 || held > before || before == 0, is(true));
		}
		assertThat(this.log.lastIndex(), greaterThan((long) ROUNDS));
	}

	// Guards against copies of a large snapshot that fill the 96 MB of direct memory.
	@Test
	void aLargeSnapshotIsNotSentAgainBeforeASlowLinkHasCarriedIt() {
		this.log.compact(new Snapshot(1, TERM, MEMBERS, 16 * 1024 * 1024));
		answer("b", false, 0, 0);
		long bytes = 0;
		for (int round = 0; round < ROUNDS; round++) {
			this.nowMs += ROUND_MS;
			List<ConsensusMessage> messages = new ArrayList<>();
			this.replication.sendTo("b", 0, true, this.nowMs, messages);
			bytes += messages.stream().mapToLong((message) -> ((ConsensusMessage.SnapshotPart) message).length()).sum();
		}
		assertThat(bytes, lessThan(2 * MAX_SENT_BYTES));
	}

	// Guards against handovers between the same two processes, of which one then has to
	// wait before it sends orders and reports (issue 58, ONE).
	@Test
	void ofSeveralMostAdvancedVotersAPreferredOneSucceedsTheLeader() {
		List.of("b", "c").forEach((id) -> answer(id, true, 1, 0));
		for (String preferred : List.of("b", "c")) {
			assertThat(this.replication.mostAdvanced(MEMBERS, preferred::equals), is(Optional.of(preferred)));
		}
		addEntry();
		answer("c", true, 2, 0);
		assertThat("one that is behind might not be elected", this.replication.mostAdvanced(MEMBERS, "b"::equals),
				is(Optional.of("c")));
	}

}

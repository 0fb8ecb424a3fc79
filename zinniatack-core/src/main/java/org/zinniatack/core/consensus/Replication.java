package org.zinniatack.core.consensus;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A leader's view of its followers: what each holds, when each last answered, and what is
 * sent next.
 */
final class Replication {

	/** A heartbeat behind a message of this size still leaves a slow link in time. */
	private static final long MESSAGE_BYTES = 256 * 1024;

	/**
	 * Fills a link of a gigabit for 8 ms, several times a round trip between failure
	 * domains; a dozen followers that are cut off hold a tenth of a process's direct
	 * memory.
	 */
	private static final long WINDOW_BYTES = 1024 * 1024;

	private final ReplicaSettings settings;

	private final MemoryLog log;

	private final long term;

	private final long openingIndex;

	private final Map<String, Progress> followers = new TreeMap<>();

	Replication(ReplicaSettings settings, MemoryLog log, long term, long openingIndex) {
		this.settings = settings;
		this.log = log;
		this.term = term;
		this.openingIndex = openingIndex;
	}

	/** Returns the replication of a replica that does not lead. */
	static Replication none() {
		return new Replication(ReplicaSettings.defaults(""), new MemoryLog(Snapshot.empty(), List.of()), 0,
				Long.MAX_VALUE);
	}

	/** Returns whether the entry that opened the term is committed. */
	boolean isOpen(long commitIndex) {
		return commitIndex >= this.openingIndex;
	}

	/** Returns the largest index that a majority of the voters has synced. */
	long majorityIndex(Membership membership, long ownIndex) {
		return membership.voters()
			.stream()
			.map((id) -> id.equals(this.settings.id()) ? ownIndex : matchIndex(id))
			.sorted(Comparator.reverseOrder())
			.skip(membership.quorum() - 1L)
			.findFirst()
			.orElse(0L);
	}

	long matchIndex(String id) {
		Progress progress = this.followers.get(id);
		return (progress != null) ? progress.matchIndex() : 0;
	}

	/** Returns the voter that holds most entries. */
	Optional<String> mostAdvanced(Membership membership) {
		return membership.voters()
			.stream()
			.filter(this.followers::containsKey)
			.max(Comparator.comparingLong(this::matchIndex));
	}

	/** Takes an answer over and returns whether to send to the follower at once. */
	boolean onResponse(ConsensusMessage.AppendResponse response) {
		Progress progress = this.followers.get(response.from());
		if (progress == null) {
			return false;
		}
		progress.acknowledge(response.sentAtMs());
		if (response.success()) {
			progress.matched(Math.min(response.matchIndex(), this.log.lastIndex()));
			return true;
		}
		return progress.rejected(response.matchIndex(), response.rejectedIndex());
	}

	/** Returns the sending time of the newest message that a quorum has answered. */
	long quorumContactMs(Membership membership, long nowMs) {
		return membership.voters()
			.stream()
			.map((id) -> id.equals(this.settings.id()) ? nowMs : contactMs(id))
			.sorted(Comparator.reverseOrder())
			.skip(membership.quorum() - 1L)
			.findFirst()
			.orElse(Progress.NEVER_MS);
	}

	long contactMs(String id) {
		Progress progress = this.followers.get(id);
		return (progress != null) ? progress.acknowledgedSentAtMs() : Progress.NEVER_MS;
	}

	void sendAll(Membership membership, long commitIndex, boolean heartbeat, long nowMs,
			List<ConsensusMessage> messages) {
		for (String id : membership.all()) {
			if (!id.equals(this.settings.id())) {
				sendTo(id, commitIndex, heartbeat, nowMs, messages);
			}
		}
	}

	void sendTo(String id, long commitIndex, boolean heartbeat, long nowMs, List<ConsensusMessage> messages) {
		Progress progress = this.followers.get(id);
		if (progress == null) {
			return;
		}
		if (progress.nextIndex() < this.log.firstIndex()) {
			sendSnapshot(id, progress, nowMs, messages);
		}
		else if (!progress.isProbing()) {
			List<LogEntry> entries = nextEntries(progress);
			if (!entries.isEmpty() || heartbeat) {
				append(id, progress, entries, commitIndex, nowMs, messages);
				progress.sent(entries);
			}
		}
		else if (progress.startProbe(nowMs, this.settings.heartbeatIntervalMs())) {
			append(id, progress, List.of(), commitIndex, nowMs, messages);
		}
	}

	/** Returns what may follow, so that a follower that is cut off piles up nothing. */
	private List<LogEntry> nextEntries(Progress progress) {
		return (progress.unacknowledgedBytes() < WINDOW_BYTES)
				? this.log.slice(progress.nextIndex(), this.settings.maximumBatchEntries(), MESSAGE_BYTES) : List.of();
	}

	private void sendSnapshot(String id, Progress progress, long nowMs, List<ConsensusMessage> messages) {
		if (progress.startSnapshot(nowMs, 2 * this.settings.electionTimeoutMs())) {
			messages.add(new ConsensusMessage.SnapshotRequest(this.settings.id(), id, this.term, this.log.snapshot(),
					nowMs));
		}
	}

	private void append(String id, Progress progress, List<LogEntry> entries, long commitIndex, long nowMs,
			List<ConsensusMessage> messages) {
		long previousIndex = progress.nextIndex() - 1;
		messages.add(new ConsensusMessage.AppendRequest(this.settings.id(), id, this.term, previousIndex,
				this.log.termAt(previousIndex), entries, commitIndex, nowMs));
	}

	/** Follows the given members; new ones count as never heard of. */
	void track(Membership membership, long lastIndex) {
		this.followers.keySet().retainAll(membership.all());
		for (String id : membership.all()) {
			if (!id.equals(this.settings.id())) {
				this.followers.computeIfAbsent(id, (absent) -> new Progress(lastIndex + 1));
			}
		}
	}

}

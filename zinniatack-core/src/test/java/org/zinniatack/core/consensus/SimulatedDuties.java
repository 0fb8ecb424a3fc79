package org.zinniatack.core.consensus;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.zinniatack.core.duty.DutyClaim;
import org.zinniatack.core.duty.DutyHolders;
import org.zinniatack.core.duty.DutyTurns;
import org.zinniatack.core.result.ServiceException;

/**
 * The leaders of a simulated cluster call receivers that check no fencing token. The
 * receivers count the calls with which holders take turns or a token falls.
 */
final class SimulatedDuties {

	static final long LEASE_MS = 3_000;

	private static final int SUBJECTS = 2;

	private static final int MAXIMUM_TRANSIT_MS = 50;

	private static final String PREFIX = "duty ";

	private final SimulatedCluster cluster;

	private final SplittableRandom random;

	private final long enforcedLeaseMs;

	private final Map<String, Actor> actors = new HashMap<>();

	private final TreeMap<Long, DutyHolders> holdersByIndex = new TreeMap<>(Map.of(0L, DutyHolders.none()));

	private final PriorityQueue<Call> underway = new PriorityQueue<>();

	private final List<List<Call>> received = new ArrayList<>();

	private long observedIndex;

	private int callCount;

	private int handoverCount;

	/**
	 * Creates the duties of a cluster.
	 * @param seed the seed of the times of calls
	 * @param enforcedLeaseMs the time that leaders keep between turns, 0 for none
	 */
	SimulatedDuties(SimulatedCluster cluster, long seed, long enforcedLeaseMs) {
		this.cluster = cluster;
		this.random = new SplittableRandom(seed);
		this.enforcedLeaseMs = enforcedLeaseMs;
		for (int subject = 0; subject < SUBJECTS; subject++) {
			this.received.add(new ArrayList<>());
		}
	}

	/** Acts for one step of the cluster, and delivers what arrives in it. */
	void step() {
		observeClaims();
		for (SimulatedNode node : this.cluster.nodes()) {
			if (node.isUp(this.cluster.nowMs())) {
				this.actors.computeIfAbsent(node.name(), (name) -> new Actor(node)).step();
			}
		}
		while (!this.underway.isEmpty() && this.underway.peek().atMs() <= this.cluster.nowMs()) {
			receive(this.underway.poll());
		}
	}

	int callCount() {
		return this.callCount;
	}

	int handoverCount() {
		return this.handoverCount;
	}

	private void observeClaims() {
		LogEntry next = this.cluster.committedEntry(this.observedIndex + 1);
		while (next != null) {
			this.observedIndex = next.index();
			String text = new String(next.command(), StandardCharsets.UTF_8);
			if (text.startsWith(PREFIX)) {
				String[] fields = text.split(" ");
				this.holdersByIndex.put(next.index(),
						this.holdersByIndex.lastEntry()
							.getValue()
							.with(new DutyClaim(fields[1], Boolean.parseBoolean(fields[2]))));
			}
			next = this.cluster.committedEntry(this.observedIndex + 1);
		}
	}

	private void receive(Call call) {
		List<Call> earlier = this.received.get(call.subject());
		boolean replaced = false;
		for (int index = earlier.size() - 1; index >= 0; index--) {
			Call before = earlier.get(index);
			if (before.term() > call.term()) {
				throw new AssertionError("the token falls from " + before + " to " + call);
			}
			if (call.atMs() - before.atMs() > LEASE_MS) {
				break;
			}
			replaced |= !before.holder().equals(call.holder());
			if (replaced && before.holder().equals(call.holder())) {
				throw new AssertionError(before + " and " + call + " with another holder in between");
			}
		}
		if (!earlier.isEmpty() && !earlier.get(earlier.size() - 1).holder().equals(call.holder())) {
			this.handoverCount++;
		}
		earlier.add(call);
		this.callCount++;
	}

	/** Stands for the process of a node, which forgets everything when it restarts. */
	private final class Actor {

		private final SimulatedNode node;

		private Replica replica;

		private DutyTurns turns;

		private long ledUntilMs;

		private long ledTerm;

		private DutyClaim claim;

		private long claimIndex;

		Actor(SimulatedNode node) {
			this.node = node;
		}

		void step() {
			Replica current = this.node.replica();
			long nowMs = this.node.clockMs(SimulatedDuties.this.cluster.nowMs());
			if (current != this.replica) {
				this.replica = current;
				this.turns = new DutyTurns(this.node.name(), SimulatedDuties.this.enforcedLeaseMs);
				this.ledUntilMs = nowMs;
				this.ledTerm = -1;
				this.claim = null;
			}
			long term = current.isLeader() ? current.term() : -1;
			if (this.ledTerm >= 0 && this.ledTerm != term) {
				this.ledUntilMs = nowMs;
				this.claim = null;
			}
			this.ledTerm = term;
			if (current.holdsLease(nowMs) && this.node.applied() >= current.commitIndex()) {
				lead(term, nowMs);
			}
		}

		private void lead(long term, long nowMs) {
			if (this.turns.term() != term) {
				this.turns.begin(term, SimulatedDuties.this.holdersByIndex.floorEntry(this.node.applied()).getValue(),
						this.ledUntilMs, nowMs);
			}
			if (this.claim != null && this.node.applied() >= this.claimIndex) {
				this.turns.committed(this.claim, nowMs);
				this.claim = null;
			}
			if (this.claim == null) {
				this.turns.due(nowMs).ifPresent(this::propose);
			}
			if (this.turns.actingTerm().isPresent() && SimulatedDuties.this.random.nextInt(4) == 0) {
				long atMs = SimulatedDuties.this.cluster.nowMs()
						+ SimulatedDuties.this.random.nextInt(MAXIMUM_TRANSIT_MS);
				SimulatedDuties.this.underway
					.add(new Call(atMs, this.node.name(), term, SimulatedDuties.this.random.nextInt(SUBJECTS)));
			}
		}

		private void propose(DutyClaim due) {
			try {
				this.claimIndex = this.replica
					.propose((PREFIX + due.holder() + " " + due.sole()).getBytes(StandardCharsets.UTF_8));
				this.claim = due;
			}
			catch (ServiceException ex) {
				throw new AssertionError("a leader refused a claim", ex);
			}
		}

	}

	private record Call(long atMs, String holder, long term, int subject) implements Comparable<Call> {

		@Override
		public int compareTo(Call other) {
			return Long.compare(this.atMs, other.atMs);
		}

	}

}

package org.zinniatack.core.queue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Holds the calls of one pool for which no target has room. The most urgent rank is
 * served first, the customers of a rank in turn, and the calls of a customer in the order
 * of arrival. The queue estimates from past departures how long a call will wait, so that
 * a call that cannot be answered in time is refused without waiting.
 *
 * @param <T> the type of a call, with identity semantics
 */
public final class CallQueue<T> {

	/** The shortest time after which a refused call is worth sending again. */
	static final long MINIMUM_RETRY_MS = 200;

	/** The estimate is not trusted beyond this time. */
	static final long MAXIMUM_RETRY_MS = 2_000;

	/**
	 * The assumed time of an answer before the first one; enough for most targets to
	 * answer.
	 */
	private static final double INITIAL_ANSWER_MS = 100;

	/** The weight of the newest value in the moving averages. */
	private static final double NEWEST_WEIGHT = 0.1;

	/** The period over which departures of more urgent ranks are counted. */
	private static final long RATE_WINDOW_MS = 1_000;

	/** The measured interval is not used after a longer time without a departure. */
	private static final long INTERVAL_VALID_MS = 2_000;

	/**
	 * The share of departures that less urgent ranks are assumed to get at least, so that
	 * the expected wait stays finite.
	 */
	private static final double MINIMUM_SHARE = 1 / 16.0;

	/**
	 * The number of departures that a guess of their interval counts for; with fewer, one
	 * long interval would decide.
	 */
	private static final double GUESS_WEIGHT = 3;

	/**
	 * The time for which a served call counts against its customer. Over a shorter time
	 * customers with few calls lose their turns to those whose calls always wait; a
	 * longer one lets a customer that pauses catch up at the expense of the others.
	 */
	private static final double SERVED_DECAY_MS = 5_000;

	/** Below this, a customer is treated as not served lately. */
	private static final double NEGLIGIBLE_COUNT = 0.01;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	private final Map<T, Entry<T>> waiting = new LinkedHashMap<>();

	private final Map<Share, DecayingCount> servedByShare = new HashMap<>();

	private final Deque<Departure> recentDepartures = new ArrayDeque<>();

	private long nextSequence;

	private int runningCount;

	private double answerMs = INITIAL_ANSWER_MS;

	/** The time for which calls have waited, with the weight of its age. */
	private double blockedMs;

	/** The calls that targets accepted in that time, with the weight of their age. */
	private double acceptedCount;

	private long departedAtMs = NEVER_MS;

	/** Since when calls wait without interruption, or NEVER_MS if none does. */
	private long blockedSinceMs = NEVER_MS;

	/**
	 * Adds a call. One that a target refused gets its earlier place again.
	 * @param call the call
	 * @param claim its place in the order and its deadline
	 */
	public void add(T call, Claim claim) {
		this.waiting.put(call, new Entry<>(call, claim, this.nextSequence++));
	}

	/**
	 * Removes the first call that can be sent and records its departure.
	 * @param sendable tells whether a target may take a call now; it must not change the
	 * queue
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the call, or empty if none can be sent
	 */
	public Optional<T> poll(Predicate<T> sendable, long nowMs) {
		for (T call : inOrder(nowMs)) {
			if (sendable.test(call)) {
				Claim claim = this.waiting.remove(call).claim();
				served(Share.of(claim)).add(1, nowMs);
				recordDeparture(claim.rank(), nowMs);
				return Optional.of(call);
			}
		}
		if (!isEmpty() && this.blockedSinceMs == NEVER_MS) {
			this.blockedSinceMs = nowMs;
		}
		return Optional.empty();
	}

	private DecayingCount served(Share share) {
		return this.servedByShare.computeIfAbsent(share, (absent) -> new DecayingCount());
	}

	private void recordDeparture(int rank, long nowMs) {
		boolean blocked = this.blockedSinceMs != NEVER_MS;
		if (blocked) {
			Interval known = interval(nowMs);
			this.acceptedCount = 1 + (1 - NEWEST_WEIGHT) * known.weight();
			this.blockedMs = blockedForMs(nowMs) + (1 - NEWEST_WEIGHT) * known.weight() * known.meanMs();
		}
		this.departedAtMs = nowMs;
		this.runningCount++;
		this.recentDepartures.addLast(new Departure(rank, nowMs, blocked));
		forgetOldDepartures(nowMs);
		endBlockIfEmpty();
	}

	private long blockedForMs(long nowMs) {
		return (this.blockedSinceMs != NEVER_MS) ? nowMs - Math.max(this.departedAtMs, this.blockedSinceMs) : 0;
	}

	private void endBlockIfEmpty() {
		if (isEmpty()) {
			this.blockedSinceMs = NEVER_MS;
		}
	}

	private void forgetOldDepartures(long nowMs) {
		while (!this.recentDepartures.isEmpty() && nowMs - this.recentDepartures.peek().atMs() > RATE_WINDOW_MS) {
			this.recentDepartures.poll();
		}
	}

	/**
	 * Records that a polled call ended without an answer after its target had accepted
	 * it.
	 */
	public void recordEnded() {
		this.runningCount--;
	}

	/**
	 * Records that a target did not accept a polled call, so that it was no departure and
	 * does not count against its customer.
	 * @param rank the rank of the call
	 * @param customer the customer
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void recordRefused(int rank, String customer, long nowMs) {
		this.runningCount--;
		served(new Share(rank, customer)).add(-1, nowMs);
		Iterator<Departure> newestFirst = this.recentDepartures.descendingIterator();
		while (newestFirst.hasNext()) {
			Departure departure = newestFirst.next();
			if (departure.rank() == rank) {
				newestFirst.remove();
				this.acceptedCount -= departure.blocked() ? 1 : 0;
				return;
			}
		}
	}

	/**
	 * Records that a target answered a polled call.
	 * @param elapsedMs the time since the call was sent, in milliseconds
	 */
	public void recordAnswered(long elapsedMs) {
		this.runningCount--;
		this.answerMs += NEWEST_WEIGHT * (elapsedMs - this.answerMs);
	}

	/**
	 * Removes a call, which then does not count against its customer.
	 * @param call the call
	 * @return false if it was not waiting
	 */
	public boolean remove(T call) {
		boolean removed = this.waiting.remove(call) != null;
		endBlockIfEmpty();
		return removed;
	}

	/**
	 * Removes the calls that are not expected to be answered by their deadlines.
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the removed calls, with the wait that was expected for each
	 */
	public List<Expectation<T>> removeLate(long nowMs) {
		List<Expectation<T>> late = new ArrayList<>();
		int ahead = 0;
		for (T call : inOrder(nowMs)) {
			Claim claim = this.waiting.get(call).claim();
			long waitMs = expectedWaitMs(claim.rank(), ahead, nowMs);
			if (nowMs + waitMs + this.answerMs > claim.deadlineMs()) {
				late.add(new Expectation<>(call, waitMs));
			}
			else {
				ahead++;
			}
		}
		late.forEach((expectation) -> remove(expectation.call()));
		return late;
	}

	/**
	 * Returns how long a call that arrives last in its rank will wait.
	 * @param rank the rank, 0 for the most urgent
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the time in milliseconds
	 */
	public long expectedWaitMs(int rank, long nowMs) {
		long ahead = this.waiting.values().stream().filter((entry) -> entry.claim().rank() <= rank).count();
		return expectedWaitMs(rank, (int) ahead, nowMs);
	}

	/**
	 * Expects departures at the measured interval. Those that calls of more urgent ranks
	 * have used lately are not available to this one.
	 */
	private long expectedWaitMs(int rank, int ahead, long nowMs) {
		forgetOldDepartures(nowMs);
		Interval known = interval(nowMs);
		double perMs = 1 / (known.meanMs() + blockedForMs(nowMs) / known.weight());
		double urgentPerMs = this.recentDepartures.stream().filter((departure) -> departure.rank() < rank).count()
				/ (double) RATE_WINDOW_MS;
		return Math.round((ahead + 1) / Math.max(perMs - urgentPerMs, perMs * MINIMUM_SHARE));
	}

	/** Returns the measured interval, or a guess from the calls that are running. */
	private Interval interval(long nowMs) {
		if (this.acceptedCount > 0 && nowMs - this.departedAtMs <= INTERVAL_VALID_MS) {
			double weight = Math.max(GUESS_WEIGHT, this.acceptedCount);
			return new Interval(Math.max(1, this.blockedMs / weight), weight);
		}
		return new Interval(Math.max(1, this.answerMs / Math.max(1, this.runningCount)), GUESS_WEIGHT);
	}

	/**
	 * Returns the time after which a refused call is worth sending again.
	 * @param expectedWaitMs the wait that was expected for it, in milliseconds
	 * @return the time in milliseconds
	 */
	public static long retryAfterMs(long expectedWaitMs) {
		return Math.max(MINIMUM_RETRY_MS, Math.min(expectedWaitMs, MAXIMUM_RETRY_MS));
	}

	/**
	 * Returns the waiting calls in the order in which they will be sent if no other
	 * arrives. Within a rank, each call of a customer ranks behind one more call of every
	 * other customer, counted from those that were served lately.
	 * @param nowMs the monotonic time, in milliseconds
	 * @return a copy
	 */
	public List<T> inOrder(long nowMs) {
		List<Entry<T>> arrivals = new ArrayList<>(this.waiting.values());
		arrivals.sort(Comparator.comparingLong((Entry<T> entry) -> entry.claim().arrivedAtMs())
			.thenComparingLong(Entry::sequence));
		Map<Share, Integer> counts = new HashMap<>();
		List<Turn<T>> turns = new ArrayList<>();
		for (Entry<T> entry : arrivals) {
			Share share = Share.of(entry.claim());
			int earlier = counts.merge(share, 1, Integer::sum) - 1;
			turns.add(new Turn<>(entry.call(), share.rank(), served(share).at(nowMs) + earlier));
		}
		turns.sort(Comparator.<Turn<T>>comparingInt(Turn::rank).thenComparingDouble(Turn::served));
		this.servedByShare.values().removeIf((count) -> count.at(nowMs) < NEGLIGIBLE_COUNT);
		return turns.stream().map(Turn::call).toList();
	}

	/**
	 * Returns whether a call that left the queue is running, so that its target will have
	 * room when it ends.
	 * @return true if at least one has not ended
	 */
	public boolean isAnyRunning() {
		return this.runningCount > 0;
	}

	/**
	 * Returns the number of waiting calls.
	 * @return the count
	 */
	public int size() {
		return this.waiting.size();
	}

	/**
	 * Returns whether no call is waiting.
	 * @return true if the queue is empty
	 */
	public boolean isEmpty() {
		return this.waiting.isEmpty();
	}

	/**
	 * The position of a call in the order and its deadline.
	 *
	 * @param rank the rank, 0 for the most urgent
	 * @param customer the customer that it is charged to; empty if it has none
	 * @param arrivedAtMs the monotonic time of its arrival, in milliseconds
	 * @param deadlineMs the monotonic time by which it must be answered, in milliseconds
	 */
	public record Claim(int rank, String customer, long arrivedAtMs, long deadlineMs) {
	}

	/**
	 * A call and the wait that is expected for it.
	 *
	 * @param <T> the type of a call
	 * @param call the call
	 * @param waitMs the expected wait, in milliseconds
	 */
	public record Expectation<T>(T call, long waitMs) {
	}

	/** Which calls share their turns: those of one customer in one rank. */
	private record Share(int rank, String customer) {

		static Share of(Claim claim) {
			return new Share(claim.rank(), claim.customer());
		}

	}

	private record Entry<T>(T call, Claim claim, long sequence) {
	}

	private record Turn<T>(T call, int rank, double served) {
	}

	/** A count whose past contributions fade. */
	private static final class DecayingCount {

		private double value;

		private long atMs;

		double at(long nowMs) {
			return this.value * Math.exp((this.atMs - nowMs) / SERVED_DECAY_MS);
		}

		void add(double amount, long nowMs) {
			this.value = Math.max(0, at(nowMs) + amount);
			this.atMs = nowMs;
		}

	}

	/**
	 * The interval between departures.
	 *
	 * @param meanMs the mean, in milliseconds
	 * @param weight the number of departures that it is based on
	 */
	private record Interval(double meanMs, double weight) {
	}

	/**
	 * A call that was sent to a target.
	 *
	 * @param rank its rank
	 * @param atMs the monotonic time, in milliseconds
	 * @param blocked true if calls were waiting
	 */
	private record Departure(int rank, long atMs, boolean blocked) {
	}

}

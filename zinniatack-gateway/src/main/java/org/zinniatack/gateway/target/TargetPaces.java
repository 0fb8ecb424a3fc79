package org.zinniatack.gateway.target;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import com.google.common.flogger.FluentLogger;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.pace.TargetPace;
import org.zinniatack.core.pace.UsualTime;

/**
 * The pace of each target to which this process sends requests. All methods except the
 * figures for metrics must be called on one thread.
 */
public final class TargetPaces {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	/**
	 * A target that started earlier is steady for a process that has not used it, which
	 * has just started or become leader.
	 */
	private static final long RECENT_START_MS = 5_000;

	/** Targets to which nothing was sent for this time are forgotten. */
	private static final long FORGET_AFTER_MS = 60_000;

	private static final int MAXIMUM_TARGETS = 256;

	private Predicate<TargetNotice> isPaced;

	private final LongSupplier timeOfDayMs;

	private final Map<String, Paced> pacesById = new HashMap<>();

	private final Map<String, UsualTime> usualTimes = new HashMap<>();

	private volatile int limitedCount;

	private volatile long heldBackCount;

	/**
	 * Returns the paces of a process that has sent nothing yet.
	 * @param isPaced returns whether the pace of a target is limited
	 * @param timeOfDayMs the time of day, in milliseconds since the epoch
	 */
	public TargetPaces(Predicate<TargetNotice> isPaced, LongSupplier timeOfDayMs) {
		this.isPaced = isPaced;
		this.timeOfDayMs = timeOfDayMs;
	}

	/**
	 * Returns whether the pace of a target is limited.
	 * @param target the target
	 * @return true if requests may have to wait for it although it has free slots
	 */
	public boolean isPaced(TargetNotice target) {
		return this.isPaced.test(target);
	}

	/** Limits the pace of further targets. */
	void addPaced(Predicate<TargetNotice> further) {
		this.isPaced = this.isPaced.or(further);
	}

	/**
	 * Returns paces that limit no target.
	 * @return the paces
	 */
	public static TargetPaces off() {
		return new TargetPaces((target) -> false, System::currentTimeMillis);
	}

	/**
	 * Returns whether a target may get one more request.
	 * @param target the target
	 * @param outstandingCount the requests of this process that it has not answered
	 * @param permitted whether there is a permit if the target may be cold
	 * @param nowMs the monotonic time, in milliseconds
	 * @return false if its limit is reached or there is no permit
	 */
	public boolean hasRoom(TargetNotice target, int outstandingCount, boolean permitted, long nowMs) {
		return this.isPaced.test(target) ? paced(target, nowMs).pace.hasRoom(outstandingCount, permitted) : permitted;
	}

	/** Counts a request that a limit kept from a target, or left without one. */
	public void countHeldBack() {
		this.heldBackCount = this.heldBackCount + 1;
	}

	/**
	 * Records an answer of a target.
	 * @param target the notice of the target at the time of the request
	 * @param measure what the time measures; only times of one measure are compared
	 * @param sentAtMs the monotonic time at which the request was sent, in milliseconds
	 * @param durationMs the time that the answer took, in milliseconds
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void onAnswer(TargetNotice target, Measure measure, long sentAtMs, double durationMs, long nowMs) {
		if (this.isPaced.test(target)) {
			UsualTime usual = this.usualTimes.computeIfAbsent(measure + target.pool(), (absent) -> new UsualTime());
			Paced paced = paced(target, nowMs);
			paced.pace.onAnswer(sentAtMs, durationMs, usual.usualMs(), nowMs);
			usual.record(durationMs);
			logChange(paced, "answer");
		}
	}

	/**
	 * Records an answer in time whose own time cannot be compared.
	 * @param target the notice of the target at the time of the request
	 * @param sentAtMs the monotonic time at which the request was sent, in milliseconds
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void onAnswerInTime(TargetNotice target, long sentAtMs, long nowMs) {
		if (this.isPaced.test(target)) {
			Paced paced = paced(target, nowMs);
			paced.pace.onAnswer(sentAtMs, 0, 0, nowMs);
			logChange(paced, "answer");
		}
	}

	/**
	 * Records that a target refused a request.
	 * @param target the notice of the target at the time of the request
	 * @param sentAtMs the monotonic time at which the request was sent, in milliseconds
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void onRefusal(TargetNotice target, long sentAtMs, long nowMs) {
		reduce(target, sentAtMs, nowMs, "refusal");
	}

	private void reduce(TargetNotice target, long sentAtMs, long nowMs, String reason) {
		if (this.isPaced.test(target)) {
			Paced paced = paced(target, nowMs);
			paced.pace.onRefusal(sentAtMs, nowMs);
			logChange(paced, reason);
		}
	}

	/**
	 * Records that a target has not answered in the time that its request had.
	 * @param target the notice of the target at the time of the request
	 * @param sentAtMs the monotonic time at which the request was sent, in milliseconds
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void onLate(TargetNotice target, long sentAtMs, long nowMs) {
		reduce(target, sentAtMs, nowMs, "late");
	}

	/**
	 * Records a lost connection or a malformed answer.
	 * @param target the notice of the target at the time of the request
	 * @param sentAtMs the monotonic time at which the request was sent, in milliseconds
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void onLoss(TargetNotice target, long sentAtMs, long nowMs) {
		if (this.isPaced.test(target)) {
			Paced paced = paced(target, nowMs);
			paced.pace.onLoss(sentAtMs, nowMs);
			logChange(paced, "loss");
		}
	}

	/**
	 * Returns the number of targets with a limit, for metrics.
	 * @return the number of targets that are not steady
	 */
	public int limitedCount() {
		return this.limitedCount;
	}

	/**
	 * Returns how many times a limit held a request back, for metrics.
	 * @return the count since the start
	 */
	public long heldBackCount() {
		return this.heldBackCount;
	}

	private Paced paced(TargetNotice target, long nowMs) {
		Paced known = this.pacesById.get(target.id());
		// An answer of an earlier start arrives after the target has restarted.
		if (known == null || known.target.bornMs() < target.bornMs()) {
			if (this.pacesById.size() >= MAXIMUM_TARGETS) {
				this.pacesById.values().removeIf((paced) -> nowMs - paced.usedAtMs > FORGET_AFTER_MS);
			}
			known = new Paced(target, first(target));
			this.pacesById.put(target.id(), known);
			logChange(known, "start");
		}
		known.usedAtMs = nowMs;
		return known;
	}

	private TargetPace first(TargetNotice target) {
		return (this.timeOfDayMs.getAsLong() - target.bornMs() > RECENT_START_MS)
				? TargetPace.steady(target.slotCount()) : TargetPace.starting(target.slotCount());
	}

	private void logChange(Paced paced, String reason) {
		boolean limited = !paced.pace.isSteady();
		if (limited != paced.loggedLimited) {
			paced.loggedLimited = limited;
			this.limitedCount = (int) this.pacesById.values().stream().filter((one) -> !one.pace.isSteady()).count();
			LOGGER.atInfo()
				.log("event=target_%s target=%s pool=%s limit=%d slots=%d reason=%s", limited ? "limited" : "steady",
						paced.target.id(), paced.target.pool(), paced.pace.limit(), paced.target.slotCount(), reason);
		}
	}

	/** What the time of an answer measures. */
	public enum Measure {

		/** The time from a call to the head of its answer. */
		CALL,

		/** The time of one event of an item. */
		EVENT

	}

	/** The pace of one start of a target. */
	private static final class Paced {

		private final TargetNotice target;

		private final TargetPace pace;

		private long usedAtMs;

		private boolean loggedLimited;

		Paced(TargetNotice target, TargetPace pace) {
			this.target = target;
			this.pace = pace;
		}

	}

}

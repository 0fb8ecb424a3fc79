package org.zinniatack.core.pace;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the permits that the leader grants for requests to targets that may be cold. For
 * each target, no more than the limit is granted in any {@link #WINDOW_MS}. Only one
 * process may grant at a time, and it must restart the allowance when it becomes leader.
 */
public final class ColdAllowance {

	/**
	 * The time in which everything was granted that targets receive in one second, in
	 * milliseconds: the second, {@link HeldPermits#VALID_MS}, and as much again for
	 * requests on their way.
	 */
	public static final long WINDOW_MS = 1_600;

	private final Map<String, Window> windowsById = new HashMap<>();

	private long exhaustedUntilMs;

	/**
	 * Returns the allowance of a new leader.
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public ColdAllowance(long nowMs) {
		restart(nowMs);
	}

	/**
	 * Forgets the permits. For a window, in which what the previous leader granted may
	 * still arrive, only the second figure of a limit is granted.
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void restart(long nowMs) {
		this.windowsById.clear();
		this.exhaustedUntilMs = nowMs + WINDOW_MS;
	}

	/**
	 * Grants permits for a target. The starts of a target share one window, since a
	 * request with a permit for the previous start may reach the new one.
	 * @param targetId the id of the target
	 * @param bornMs its start time, in milliseconds since the epoch
	 * @param count the number of permits wanted
	 * @param limit the limit on its permits
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the number granted, 0 for a start before the newest that was asked for
	 */
	public int grant(String targetId, long bornMs, int count, Limit limit, long nowMs) {
		int granted = Math.min(count, available(targetId, bornMs, limit, nowMs));
		if (granted <= 0) {
			return 0;
		}
		removeEmptyWindows(nowMs);
		this.windowsById.computeIfAbsent(targetId, (absent) -> new Window()).add(bornMs, granted, nowMs);
		return granted;
	}

	/**
	 * Returns how many permits a target can get now.
	 * @param targetId the id of the target
	 * @param bornMs its start time, in milliseconds since the epoch
	 * @param limit the limit on its permits
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the number of permits
	 */
	public int available(String targetId, long bornMs, Limit limit, long nowMs) {
		int most = (nowMs <= this.exhaustedUntilMs) ? limit.firstWindow() : limit.perWindow();
		Window window = this.windowsById.get(targetId);
		return (window != null) ? window.available(bornMs, most, nowMs) : most;
	}

	private void removeEmptyWindows(long nowMs) {
		this.windowsById.values().removeIf((window) -> window.isEmpty(nowMs));
	}

	/**
	 * The limit on the permits for a target.
	 *
	 * @param perWindow the number of permits in any window
	 * @param firstWindow the number of permits in the first window of a leader, in which
	 * the previous leader's permits may be in use as well
	 */
	public record Limit(int perWindow, int firstWindow) {

		/**
		 * Returns the limit for a target that is known to be cold.
		 * @param coldPerS the requests that a cold target tolerates, per second
		 * @param overage the factor by which that may be exceeded
		 * @return a limit of at least one permit, and of none for a new leader
		 */
		public static Limit ofCold(double coldPerS, double overage) {
			return new Limit((int) Math.max(1, Math.floor(coldPerS * overage)), 0);
		}

		/**
		 * Returns the limit for a target that may become cold before it says so. A new
		 * leader has the slack at once: to wait for a window would leave all targets idle
		 * after each change of the leader, and both leaders together stay within the
		 * bound.
		 * @param coldPerS the requests that a cold target tolerates, per second
		 * @param overage the factor by which that may be exceeded
		 * @param slack the number of requests by which that may be exceeded as well
		 * @return the limit
		 */
		public static Limit ofReady(double coldPerS, double overage, double slack) {
			int perWindow = ofCold(coldPerS, overage).perWindow();
			return new Limit(perWindow, Math.max(0, (int) Math.floor(coldPerS * overage + slack) - perWindow));
		}

	}

	/** The grants for one target. */
	private static final class Window {

		private final Deque<Grant> grants = new ArrayDeque<>();

		private int count;

		private long newestBornMs;

		int available(long bornMs, int limit, long nowMs) {
			removeOld(nowMs);
			return (bornMs < this.newestBornMs) ? 0 : Math.max(0, limit - this.count);
		}

		void add(long bornMs, int granted, long nowMs) {
			this.newestBornMs = bornMs;
			this.count += granted;
			this.grants.add(new Grant(granted, nowMs));
		}

		boolean isEmpty(long nowMs) {
			removeOld(nowMs);
			return this.grants.isEmpty();
		}

		private void removeOld(long nowMs) {
			while (!this.grants.isEmpty() && nowMs - this.grants.getFirst().atMs() > WINDOW_MS) {
				this.count -= this.grants.removeFirst().count();
			}
		}

	}

	/**
	 * Permits that were granted together.
	 *
	 * @param count the number of permits
	 * @param atMs the monotonic time, in milliseconds
	 */
	private record Grant(int count, long atMs) {
	}

}

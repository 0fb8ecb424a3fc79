package org.zinniatack.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import org.zinniatack.core.result.ServiceException;

/**
 * The running steps of an entry, and the reasons why steps were abandoned. Only the most
 * recent reasons are kept.
 */
final class StepRunners {

	private static final int MAXIMUM_ABANDON_REASONS = 1_024;

	private final Map<String, StepRunner> running = new ConcurrentHashMap<>();

	private final Map<String, ServiceException> abandonReasons = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, ServiceException> eldest) {
			return size() > MAXIMUM_ABANDON_REASONS;
		}

	};

	/** Returns the runner of a step, creating it if the step is not running. */
	StepRunner runner(String customer, String step, Supplier<StepRunner> factory) {
		synchronized (this.abandonReasons) {
			this.abandonReasons.remove(keyOf(customer, step));
		}
		return this.running.computeIfAbsent(keyOf(customer, step), (absent) -> factory.get());
	}

	/** Removes finished runners and lets the others reissue their slots. */
	void tick() {
		this.running
			.forEach((key, runner) -> runner.abandonReason().ifPresent((reason) -> rememberReason(key, reason)));
		this.running.values().removeIf(StepRunner::isFinished);
		this.running.values().forEach(StepRunner::reissueSlots);
	}

	private void rememberReason(String key, ServiceException reason) {
		synchronized (this.abandonReasons) {
			this.abandonReasons.put(key, reason);
		}
	}

	/**
	 * Returns the reason why a step was abandoned since it was last submitted, or empty
	 * if it was not.
	 */
	Optional<ServiceException> abandonReason(String customer, String step) {
		synchronized (this.abandonReasons) {
			return Optional.ofNullable(this.abandonReasons.get(keyOf(customer, step)));
		}
	}

	private static String keyOf(String customer, String step) {
		return customer + '\0' + step;
	}

}

package org.zinniatack.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import org.zinniatack.core.result.ServiceException;

/**
 * The steps on which an entry works, and why it gave up those that it no longer works on.
 */
final class StepRunners {

	private static final int ABANDONED_STEPS_KEPT = 1_024;

	private final Map<String, StepRunner> running = new ConcurrentHashMap<>();

	private final Map<String, ServiceException> abandoned = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, ServiceException> eldest) {
			return size() > ABANDONED_STEPS_KEPT;
		}

	};

	/** Returns the runner of a step, made by the first call. */
	StepRunner runner(String customer, String step, Supplier<StepRunner> maker) {
		synchronized (this.abandoned) {
			this.abandoned.remove(nameOf(customer, step));
		}
		return this.running.computeIfAbsent(nameOf(customer, step), (absent) -> maker.get());
	}

	/** Lets each runner do what is due, and forgets those that are over. */
	void tend() {
		this.running.forEach((name, runner) -> runner.abandonment().ifPresent((reason) -> keep(name, reason)));
		this.running.values().removeIf(StepRunner::isOver);
		this.running.values().forEach(StepRunner::tend);
	}

	private void keep(String name, ServiceException reason) {
		synchronized (this.abandoned) {
			this.abandoned.put(name, reason);
		}
	}

	/**
	 * Returns why a step was given up after it was last submitted, empty if it was not.
	 */
	Optional<ServiceException> abandonment(String customer, String step) {
		synchronized (this.abandoned) {
			return Optional.ofNullable(this.abandoned.get(nameOf(customer, step)));
		}
	}

	private static String nameOf(String customer, String step) {
		return customer + '\0' + step;
	}

}

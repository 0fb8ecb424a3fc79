package org.zinniatack.core.weight;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

import org.zinniatack.core.job.JobId;

/**
 * Predicts the oldest weight version that the next step of a model will accept. A trainer
 * requests a step after a version is announced, and accepts versions that lag behind it
 * by up to a fixed number.
 */
public final class StepVersions {

	/**
	 * Number of recent steps that determine the lag, so that an outlier soon drops out.
	 */
	private static final int LAG_STEPS = 4;

	/** Lag that is assumed until the arrival of a step has been observed. */
	private static final long DEFAULT_LAG = 1;

	/**
	 * Targets start with this version, so a step that accepts it tells nothing of the
	 * lag.
	 */
	private static final long INITIAL_VERSION = 1;

	private final Set<JobId> knownJobs = new HashSet<>();

	private final Deque<Long> lags = new ArrayDeque<>();

	private long highestStepBound;

	private boolean firstCallDone;

	/**
	 * Records the newest steps of the model. The steps of the first call arrived at an
	 * unknown time and tell nothing about the lag.
	 * @param newestVersion the newest announced version
	 * @param steps the newest steps
	 */
	public void observe(long newestVersion, Collection<ObservedStep> steps) {
		for (ObservedStep step : steps) {
			if (this.knownJobs.add(step.id()) && this.firstCallDone && step.oldestVersion() > INITIAL_VERSION) {
				this.lags.addLast(Math.max(0, newestVersion - step.oldestVersion()));
				if (this.lags.size() > LAG_STEPS) {
					this.lags.removeFirst();
				}
			}
			this.highestStepBound = Math.max(this.highestStepBound, step.oldestVersion());
		}
		this.knownJobs.retainAll(steps.stream().map(ObservedStep::id).toList());
		this.firstCallDone = true;
	}

	/**
	 * Returns the oldest version that the next step is expected to accept.
	 * @param newestVersion the newest announced version
	 * @return the version
	 */
	public long oldestUsable(long newestVersion) {
		long lag = this.lags.stream().mapToLong(Long::longValue).min().orElse(DEFAULT_LAG);
		boolean nextStepDue = newestVersion - lag > this.highestStepBound;
		return this.highestStepBound + (nextStepDue ? 1 : 0);
	}

	/**
	 * The version bound of a step, taken from its job.
	 *
	 * @param id the job
	 * @param oldestVersion the oldest version that the step accepts
	 */
	public record ObservedStep(JobId id, long oldestVersion) {
	}

}

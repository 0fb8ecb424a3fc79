package org.zinniatack.core.weight;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

import org.zinniatack.core.job.JobId;

/**
 * Predicts the oldest weight version that the next step of a model will accept. A trainer
 * asks for a step once a version is announced, and accepts versions that are a fixed
 * number behind that one.
 */
public final class StepVersions {

	/** So many steps decide the lag, so that one unusual step is forgotten. */
	private static final int STEPS = 4;

	/** What is assumed of a trainer until a step of it was seen arriving. */
	private static final long USUAL_LAG = 1;

	/** Targets begin with this version, so a step that accepts it says nothing. */
	private static final long FIRST_VERSION = 1;

	private final Set<JobId> seen = new HashSet<>();

	private final Deque<Long> lags = new ArrayDeque<>();

	private long newestStepOldest;

	private boolean watching;

	/**
	 * Notes the newest jobs of the model. The jobs of the first call arrived at an
	 * unknown time and say nothing about the lag.
	 * @param newestVersion the newest version that was announced
	 * @param jobs the newest jobs
	 */
	public void observe(long newestVersion, Collection<ObservedStep> jobs) {
		for (ObservedStep job : jobs) {
			if (this.seen.add(job.id()) && this.watching && job.oldestVersion() > FIRST_VERSION) {
				this.lags.addLast(Math.max(0, newestVersion - job.oldestVersion()));
				if (this.lags.size() > STEPS) {
					this.lags.removeFirst();
				}
			}
			this.newestStepOldest = Math.max(this.newestStepOldest, job.oldestVersion());
		}
		this.seen.retainAll(jobs.stream().map(ObservedStep::id).toList());
		this.watching = true;
	}

	/**
	 * Returns the oldest version that serves the next step.
	 * @param newestVersion the newest version that was announced
	 * @return the version
	 */
	public long oldestUsable(long newestVersion) {
		long lag = this.lags.stream().mapToLong(Long::longValue).min().orElse(USUAL_LAG);
		boolean nextMayCome = newestVersion - lag > this.newestStepOldest;
		return this.newestStepOldest + (nextMayCome ? 1 : 0);
	}

	/**
	 * A step as its job states it.
	 *
	 * @param id the job
	 * @param oldestVersion the oldest version that it accepts
	 */
	public record ObservedStep(JobId id, long oldestVersion) {
	}

}

package org.zinniatack.core.sample;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Replicated record of the steps of all trainers. A step is identified by its customer
 * and its name, so customers never share one.
 */
public final class StepLedger {

	private static final int MAX_RELEASED_STEPS = 4096;

	private final Map<StepId, Step> steps = new LinkedHashMap<>();

	private int releasedCount;

	/**
	 * Restores a ledger from its stored form.
	 * @param images the stored steps, oldest first
	 * @return the ledger
	 */
	public static StepLedger of(Collection<Step.Image> images) {
		StepLedger ledger = new StepLedger();
		for (Step.Image image : images) {
			ledger.steps.put(new StepId(image.customer(), image.name()), Step.of(image));
			ledger.releasedCount += (image.state() == Step.State.RELEASED) ? 1 : 0;
		}
		return ledger;
	}

	/**
	 * Returns the committed batch of a step, the same at each call.
	 * @param id the step
	 * @return the samples in the order of their slots
	 * @throws ServiceException with STEP_UNKNOWN, STEP_INCOMPLETE or STEP_RELEASED
	 */
	public List<Sample> batch(StepId id) throws ServiceException {
		return requireStep(id).batch();
	}

	/**
	 * Commits the batch of a step if each slot holds a sample within the age bound.
	 * Samples beyond the bound are removed.
	 * @param id the step
	 * @param newestVersion the newest weight version known of the model
	 * @return the slots that must be generated again, empty once the batch is committed
	 * @throws ServiceException with STEP_UNKNOWN
	 */
	public List<Integer> commit(StepId id, long newestVersion) throws ServiceException {
		return requireStep(id).commit(newestVersion);
	}

	/**
	 * Fills empty slots; slots that already hold a sample keep it.
	 * @param id the step
	 * @param samples the samples
	 * @param newestVersion the newest weight version known of the model
	 * @return the slots that are still empty
	 * @throws ServiceException with STEP_UNKNOWN
	 */
	public List<Integer> fill(StepId id, List<Sample> samples, long newestVersion) throws ServiceException {
		Step step = requireStep(id);
		step.fill(samples, newestVersion);
		return step.missingSlots();
	}

	/**
	 * Returns the stored form of all steps.
	 * @return the stored steps, oldest first
	 */
	public List<Step.Image> images() {
		List<Step.Image> images = new ArrayList<>();
		this.steps.forEach((id, step) -> images.add(step.image(id.customer(), id.name())));
		return images;
	}

	/**
	 * Returns the model of a step.
	 * @param id the step
	 * @return the name of the pool that generates the samples
	 * @throws ServiceException with STEP_UNKNOWN
	 */
	public String modelOf(StepId id) throws ServiceException {
		return requireStep(id).model();
	}

	/**
	 * Opens a step, or keeps it as it is if it is already known.
	 * @param id the step
	 * @param model the pool that generates the samples
	 * @param digest the digest of the groups
	 * @param slotCount the number of slots
	 * @param ageBoundVersions the number of versions by which a sample may be behind the
	 * newest
	 * @return the empty slots
	 * @throws ServiceException with STEP_MISMATCH if the step was opened with other
	 * groups
	 */
	public List<Integer> open(StepId id, String model, String digest, int slotCount, int ageBoundVersions)
			throws ServiceException {
		Step step = this.steps.computeIfAbsent(id, (absent) -> new Step(model, digest, slotCount, ageBoundVersions));
		if (!step.matchesDigest(digest)) {
			throw ServiceException.of(ResultCode.STEP_MISMATCH, "the step was opened with other groups: " + id.name());
		}
		return step.missingSlots();
	}

	/**
	 * Releases a committed batch that its trainer has acknowledged. Its samples are
	 * dropped.
	 * @param id the step
	 * @throws ServiceException with STEP_UNKNOWN or STEP_INCOMPLETE
	 */
	public void release(StepId id) throws ServiceException {
		Step step = requireStep(id);
		if (step.state() == Step.State.RELEASED) {
			return;
		}
		step.batch();
		step.release();
		this.releasedCount++;
		evictOldestReleased();
	}

	private void evictOldestReleased() {
		if (this.releasedCount > MAX_RELEASED_STEPS) {
			this.steps.entrySet()
				.stream()
				.filter((entry) -> entry.getValue().state() == Step.State.RELEASED)
				.map(Map.Entry::getKey)
				.findFirst()
				.ifPresent(this.steps::remove);
			this.releasedCount--;
		}
	}

	private Step requireStep(StepId id) throws ServiceException {
		Step step = this.steps.get(id);
		if (step == null) {
			throw ServiceException.of(ResultCode.STEP_UNKNOWN, "no step is known under this name: " + id.name());
		}
		return step;
	}

	/**
	 * Identifies a step.
	 *
	 * @param customer the customer whose trainer opened the step
	 * @param name the trainer's name for the step
	 */
	public record StepId(String customer, String name) {
	}

}

package org.zinniatack.core.sample;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * The steps of all trainers. A step is known by its customer and its name, so customers
 * share none.
 */
public final class StepLedger {

	private static final int RELEASED_STEPS_KEPT = 4096;

	private final Map<StepId, Step> steps = new LinkedHashMap<>();

	private int releasedCount;

	/**
	 * Returns a ledger of stored steps.
	 * @param images the stored steps
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
	 * Returns the batch of a step, the same at each call.
	 * @param id the step
	 * @return the samples in the order of their slots
	 * @throws ServiceException with STEP_UNKNOWN, STEP_INCOMPLETE or STEP_RELEASED
	 */
	public List<Sample> batch(StepId id) throws ServiceException {
		return require(id).batch();
	}

	/**
	 * Commits the batch of a step if each slot holds a sample within the age bound.
	 * @param id the step
	 * @param newestVersion the newest weight version known of the model
	 * @return the slots that must be generated, empty once the batch is committed
	 * @throws ServiceException with STEP_UNKNOWN
	 */
	public List<Integer> commit(StepId id, long newestVersion) throws ServiceException {
		return require(id).commit(newestVersion);
	}

	/**
	 * Fills slots; a slot that is filled stays as it is.
	 * @param id the step
	 * @param samples the samples
	 * @param newestVersion the newest weight version known of the model
	 * @return the slots that are still empty
	 * @throws ServiceException with STEP_UNKNOWN
	 */
	public List<Integer> fill(StepId id, List<Sample> samples, long newestVersion) throws ServiceException {
		Step step = require(id);
		step.fill(samples, newestVersion);
		return step.missingSlots();
	}

	/**
	 * Returns the stored form of all steps.
	 * @return the images, oldest first
	 */
	public List<Step.Image> images() {
		List<Step.Image> images = new ArrayList<>();
		this.steps.forEach((id, step) -> images.add(step.image(id.customer(), id.name())));
		return images;
	}

	/**
	 * Returns the model of a step.
	 * @param id the step
	 * @return the name of the pool that generates
	 * @throws ServiceException with STEP_UNKNOWN
	 */
	public String modelOf(StepId id) throws ServiceException {
		return require(id).model();
	}

	/**
	 * Opens a step, or finds it open.
	 * @param id the step
	 * @param model the pool that generates
	 * @param digest the digest of the groups
	 * @param slotCount the number of slots
	 * @param ageBoundVersions how many versions a sample may lag behind
	 * @return the slots that are empty
	 * @throws ServiceException with STEP_MISMATCH if the step was opened with other
	 * groups
	 */
	public List<Integer> open(StepId id, String model, String digest, int slotCount, int ageBoundVersions)
			throws ServiceException {
		Step step = this.steps.computeIfAbsent(id, (absent) -> new Step(model, digest, slotCount, ageBoundVersions));
		if (!step.matches(digest)) {
			throw ServiceException.of(ResultCode.STEP_MISMATCH, "step " + id.name());
		}
		return step.missingSlots();
	}

	/**
	 * Releases a committed batch that its trainer has received.
	 * @param id the step
	 * @throws ServiceException with STEP_UNKNOWN or STEP_INCOMPLETE
	 */
	public void release(StepId id) throws ServiceException {
		Step step = require(id);
		if (step.state() == Step.State.RELEASED) {
			return;
		}
		step.batch();
		step.release();
		this.releasedCount++;
		forgetOldest();
	}

	private void forgetOldest() {
		if (this.releasedCount > RELEASED_STEPS_KEPT) {
			this.steps.entrySet()
				.stream()
				.filter((entry) -> entry.getValue().state() == Step.State.RELEASED)
				.map(Map.Entry::getKey)
				.findFirst()
				.ifPresent(this.steps::remove);
			this.releasedCount--;
		}
	}

	private Step require(StepId id) throws ServiceException {
		Step step = this.steps.get(id);
		if (step == null) {
			throw ServiceException.of(ResultCode.STEP_UNKNOWN, "step " + id.name());
		}
		return step;
	}

	/**
	 * The name of a step.
	 *
	 * @param customer the customer whose trainer opened the step
	 * @param name the trainer's name for the step
	 */
	public record StepId(String customer, String name) {
	}

}

package org.zinniatack.core.sample;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * One training step with a fixed number of slots. The first sample that arrives for a
 * slot fills it. Once committed, the batch of samples no longer changes.
 */
public final class Step {

	private final String model;

	private final String digest;

	private final int slotCount;

	private final int ageBoundVersions;

	private final Map<Integer, Sample> samples = new TreeMap<>();

	private State state = State.FILLING;

	Step(String model, String digest, int slotCount, int ageBoundVersions) {
		this.model = model;
		this.digest = digest;
		this.slotCount = slotCount;
		this.ageBoundVersions = ageBoundVersions;
	}

	static Step of(Image image) {
		Step step = new Step(image.model(), image.digest(), image.slotCount(), image.ageBoundVersions());
		image.samples().forEach((sample) -> step.samples.put(sample.slot(), sample));
		step.state = image.state();
		return step;
	}

	/**
	 * Removes samples that are too old and makes the batch final if every slot is filled,
	 * otherwise returns the empty slots.
	 */
	List<Integer> commit(long newestVersion) {
		if (this.state == State.FILLING) {
			this.samples.values().removeIf((sample) -> isTooOld(sample, newestVersion));
			if (missingSlots().isEmpty()) {
				this.state = State.COMMITTED;
			}
		}
		return missingSlots();
	}

	/** Fills each empty slot with the first sample for it; later ones are ignored. */
	void fill(List<Sample> candidates, long newestVersion) {
		if (this.state != State.FILLING) {
			return;
		}
		for (Sample sample : candidates) {
			if (sample.slot() >= 0 && sample.slot() < this.slotCount && !isTooOld(sample, newestVersion)) {
				this.samples.putIfAbsent(sample.slot(), sample);
			}
		}
	}

	private boolean isTooOld(Sample sample, long newestVersion) {
		try {
			return newestVersion - sample.oldestVersion() > this.ageBoundVersions;
		}
		catch (ServiceException ex) {
			return true;
		}
	}

	List<Integer> missingSlots() {
		return (this.state != State.FILLING) ? List.of()
				: IntStream.range(0, this.slotCount).filter((slot) -> !this.samples.containsKey(slot)).boxed().toList();
	}

	List<Sample> batch() throws ServiceException {
		return switch (this.state) {
			case FILLING -> throw ServiceException.of(ResultCode.STEP_INCOMPLETE,
					missingSlots().size() + " slots have no sample yet");
			case COMMITTED -> List.copyOf(this.samples.values());
			case RELEASED ->
				throw ServiceException.of(ResultCode.STEP_RELEASED, "the trainer has already acknowledged the batch");
		};
	}

	void release() {
		this.state = State.RELEASED;
		this.samples.clear();
	}

	String model() {
		return this.model;
	}

	State state() {
		return this.state;
	}

	boolean matchesDigest(@Nullable String otherDigest) {
		return this.digest.equals(otherDigest);
	}

	Image image(String customer, String name) {
		return new Image(customer, name, this.model, this.digest, this.slotCount, this.ageBoundVersions, this.state,
				List.copyOf(this.samples.values()));
	}

	/** The state of a step. */
	public enum State {

		/** The batch is not committed yet. */
		FILLING,

		/** The batch is final and may be fetched. */
		COMMITTED,

		/** The trainer has acknowledged the batch. */
		RELEASED

	}

	/**
	 * The stored form of a step.
	 *
	 * @param customer the customer whose trainer opened the step
	 * @param name the trainer's name for the step
	 * @param model the pool that generates the samples
	 * @param digest the digest of the groups
	 * @param slotCount the number of slots
	 * @param ageBoundVersions the number of versions by which a sample may be behind the
	 * newest
	 * @param state the state of the step
	 * @param samples the samples of the filled slots
	 */
	public record Image(String customer, String name, String model, String digest, int slotCount, int ageBoundVersions,
			State state, List<Sample> samples) {
	}

}

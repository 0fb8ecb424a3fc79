package org.zinniatack.core.sample;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * One step of a trainer: a number of slots, each filled by the first sample that arrives
 * for it, and a batch that no longer changes once it is committed.
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

	/** Makes the batch final, or returns the slots that are empty or too old. */
	List<Integer> commit(long newestVersion) {
		if (this.state == State.FILLING) {
			this.samples.values().removeIf((sample) -> isTooOld(sample, newestVersion));
			if (missingSlots().isEmpty()) {
				this.state = State.COMMITTED;
			}
		}
		return missingSlots();
	}

	/** Takes the first sample for each empty slot; later ones change nothing. */
	void fill(List<Sample> arrived, long newestVersion) {
		if (this.state != State.FILLING) {
			return;
		}
		for (Sample sample : arrived) {
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
			case FILLING -> throw ServiceException.of(ResultCode.STEP_INCOMPLETE, missingSlots().size() + " slots");
			case COMMITTED -> List.copyOf(this.samples.values());
			case RELEASED -> throw ServiceException.of(ResultCode.STEP_RELEASED, "the trainer acknowledged it");
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

	boolean matches(@Nullable String otherDigest) {
		return this.digest.equals(otherDigest);
	}

	Image image(String customer, String name) {
		return new Image(customer, name, this.model, this.digest, this.slotCount, this.ageBoundVersions, this.state,
				List.copyOf(this.samples.values()));
	}

	/** How far a step is. */
	public enum State {

		/** Some slots are empty. */
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
	 * @param model the pool that generates
	 * @param digest the digest of the groups
	 * @param slotCount the number of slots
	 * @param ageBoundVersions how many versions a sample may lag behind
	 * @param state how far the step is
	 * @param samples the filled slots
	 */
	public record Image(String customer, String name, String model, String digest, int slotCount, int ageBoundVersions,
			State state, List<Sample> samples) {
	}

}

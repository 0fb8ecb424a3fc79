package org.zinniatack.core.sample;

import java.util.List;
import java.util.Objects;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * A complete generation for one slot of a step.
 *
 * @param slot the position in the step, counted from 0
 * @param text the generated text
 * @param finishReason the reason why the engine stopped
 * @param spans the runs of tokens by the weight version that generated them, in order
 */
public record Sample(int slot, String text, String finishReason, List<VersionSpan> spans) {

	/**
	 * Checks the arguments.
	 */
	public Sample {
		Objects.requireNonNull(text, "text");
		Objects.requireNonNull(finishReason, "finishReason");
		spans = List.copyOf(spans);
	}

	/**
	 * Returns the oldest weight version that generated part of the sample.
	 * @return the version
	 * @throws ServiceException with SAMPLE_UNATTRIBUTED if the engine reported none
	 */
	public long oldestVersion() throws ServiceException {
		return this.spans.stream()
			.mapToLong(VersionSpan::weightVersion)
			.min()
			.orElseThrow(() -> ServiceException.of(ResultCode.SAMPLE_UNATTRIBUTED,
					"the engine reported no weight version for slot " + this.slot));
	}

}

package org.zinniatack.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.sample.StragglerPolicy;
import org.zinniatack.core.sample.VersionSpan;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

class StepRunnerTests {

	private final InterleavingSubmitter submitter = new InterleavingSubmitter();

	private final StepRunner runner = new StepRunner("trainer", "s", this.submitter,
			(command) -> new CompletableFuture<>(), StragglerPolicy.never(), () -> this.nowMs);

	private long nowMs;

	// Guards against a sample that two targets generate, because a tick comes while it is
	// submitted.
	@Test
	void aTickDuringASubmissionDoesNotSubmitTheSlotAgain() {
		this.submitter.duringSubmission = (sink) -> this.runner.reissueSlots();
		this.runner.generate(List.of(0, 1));
		assertThat(this.submitter.submittedSlots, contains(0, 1));
		this.submitter.requests.get(1).markDone();
		this.runner.reissueSlots();
		assertThat(this.submitter.submittedSlots, contains(0, 1, 1));
	}

	// Guards against an attempt that goes on at a target although its slot is filled.
	@Test
	void anAttemptWhoseSlotWasFilledDuringItsSubmissionIsCancelled() {
		this.submitter.duringSubmission = (sink) -> sink
			.complete(new Answer(200, "", new byte[0], "text", "stop", List.of(new VersionSpan(1, 4)), 4));
		this.runner.generate(List.of(0));
		assertThat(this.submitter.cancelled, contains(this.submitter.requests.get(0)));
		this.runner.reissueSlots();
		assertThat(this.submitter.submittedSlots, contains(0));
	}

	@Test
	void anAttemptThatIsNeededIsNotCancelled() {
		this.runner.generate(List.of(0));
		this.runner.reissueSlots();
		assertThat(this.submitter.cancelled, empty());
		assertThat(this.submitter.submittedSlots, contains(0));
	}

	// Guards against a third target that crashes because the quarantine arrives later
	// than
	// the next tick.
	@Test
	void aSlotWhoseRequestCrashedTargetsWaitsForTheVerdictOfControl() {
		this.runner.generate(List.of(0));
		CallerRequest request = this.submitter.requests.get(0);
		request.markDone();
		request.sink().fail(ServiceException.of(ResultCode.TARGET_CRASHED, "two targets crashed"));
		this.nowMs = 999;
		this.runner.reissueSlots();
		assertThat(this.submitter.submittedSlots, contains(0));
		this.nowMs = 1_000;
		this.runner.reissueSlots();
		assertThat(this.submitter.submittedSlots, contains(0, 0));
	}

	/** Lets a test act while a slot is being submitted. */
	private static final class InterleavingSubmitter implements StepRunner.Submitter {

		private final List<Integer> submittedSlots = new ArrayList<>();

		private final List<CallerRequest> requests = new ArrayList<>();

		private final List<CallerRequest> cancelled = new ArrayList<>();

		private @Nullable Consumer<AnswerSink> duringSubmission;

		@Override
		public CallerRequest submit(int slot, AnswerSink sink) {
			this.submittedSlots.add(slot);
			CallerRequest request = request(sink);
			this.requests.add(request);
			if (this.duringSubmission != null) {
				this.duringSubmission.accept(sink);
			}
			return request;
		}

		@Override
		public void cancel(CallerRequest request) {
			this.cancelled.add(request);
		}

		static CallerRequest request(AnswerSink sink) {
			CallerRequest.Call call = SimulatedCaller.call("trainer", "prompt", 4, true, true);
			return new CallerRequest(new CallerRequest.Principal("trainer", null, 1), call, 4, true, 1_000, 2_000,
					sink);
		}

	}

}

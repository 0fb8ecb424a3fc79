package org.zinniatack.entry;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import org.zinniatack.core.presence.TableVersion;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.wire.Message;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class EnforcementTests {

	private final Authority authority = new Authority(5_000);

	private final CallerRequest request = new CallerRequest(new CallerRequest.Principal("trainer", null, 1),
			SimulatedCaller.call("trainer", "prompt", 4, true, true), 4, false, 1_000, 2_000, new AnswerSink() {

				@Override
				public void complete(Answer answer) {
					throw new AssertionError();
				}

				@Override
				public void fail(ServiceException failure) {
					throw new AssertionError(failure);
				}

			});

	private ResultCode codeOfEnd() {
		this.authority.accept(new Message.Feed(0, 0, List.of(), 1, 0, Map.of(), 0, Map.of(), 1, List.of(),
				List.of(this.request.call().identity().digest()), Map.of(), TableVersion.NONE), 0);
		return new Enforcement(() -> 0, this.authority, new SuspectTracker(this.authority)).reasonToEnd(this.request)
			.orElseThrow()
			.code();
	}

	// Guards against two codes for one crash, depending on which of its two reports is
	// first.
	@Test
	void aRequestThatCrashedATargetEndsAsCrashedIfItsQuarantineArrivesFirst() {
		this.request.countLostTarget();
		this.request.countFailedRun();
		assertThat(codeOfEnd(), is(ResultCode.TARGET_CRASHED));
	}

	@Test
	void aQuarantinedRequestWhoseOwnTargetsRunIsCutShort() {
		this.request.countFailedRun();
		assertThat(codeOfEnd(), is(ResultCode.ANSWER_CUT_SHORT));
	}

	@Test
	void aQuarantinedRequestThatNeverStartedIsRefused() {
		assertThat(codeOfEnd(), is(ResultCode.QUARANTINED));
	}

}

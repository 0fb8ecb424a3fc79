package org.zinniatack.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.config.Specification;
import org.zinniatack.core.key.Sha256Digest;
import org.zinniatack.core.result.Outcome;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.sample.VersionSpan;
import org.zinniatack.core.state.RequestIdentity;

/**
 * Simulates a caller with one request and checks the answer and errors that it receives.
 */
final class SimulatedCaller {

	private static final long QUEUE_TIME_MS = 30_000;

	private static final long DEADLINE_MS = 60_000;

	private static final long RESEND_DELAY_MS = 1_000;

	private final SimulatedSystem system;

	private final Kind kind;

	private final String customer;

	private final String prompt;

	private final int tokenCount;

	private @Nullable SimulatedEntry entry;

	private int attempts;

	private int finalResults;

	private boolean lostEntry;

	private @Nullable ResultCode failure;

	SimulatedCaller(SimulatedSystem system, Kind kind, String customer, int number, int tokenCount) {
		this.system = system;
		this.kind = kind;
		this.customer = customer;
		this.prompt = kind.name().toLowerCase(Locale.ROOT) + number;
		this.tokenCount = tokenCount;
	}

	Kind kind() {
		return this.kind;
	}

	String customer() {
		return this.customer;
	}

	/** Returns whether the caller has its final result or lost the entry that owes it. */
	boolean isOver() {
		return this.finalResults > 0 || this.lostEntry;
	}

	boolean isServed() {
		return this.finalResults > 0 && this.failure == null;
	}

	boolean hasLostEntry() {
		return this.lostEntry;
	}

	String outcome() {
		return this.prompt + " of " + this.customer + ": " + ((this.failure != null) ? this.failure.name() : "none");
	}

	void send() {
		SimulatedEntry chosen = this.system.anyEntry();
		this.entry = chosen;
		this.attempts++;
		CheckingSink sink = new CheckingSink();
		try {
			chosen.requireAuthority();
			if (this.kind == Kind.ONCE) {
				new AtMostOnceRunner(chosen.proposer(),
						(committing) -> chosen.dispatcher().submit(sink.request(committing), true))
					.run(this.customer, this.prompt, call().identity().digest(), this.system.time().nowMs())
					.whenComplete((answer, problem) -> {
						if (problem == null) {
							sink.complete(answer);
						}
						else {
							sink.fail((ServiceException) ControlLink.unwrap(problem));
						}
					});
			}
			else {
				chosen.dispatcher().submit(sink.request(sink), true);
			}
		}
		catch (ServiceException ex) {
			sink.fail(ex);
		}
	}

	void onEntryLost(SimulatedEntry lost) {
		if (this.entry == lost && !isOver()) {
			if (this.kind == Kind.ONCE) {
				resend();
			}
			else {
				this.lostEntry = true;
			}
		}
	}

	private void resend() {
		this.system.time().after(RESEND_DELAY_MS, this::send);
	}

	private CallerRequest.Call call() {
		return call(this.customer, this.prompt, this.tokenCount, this.kind.engine,
				this.system.treatsAsRepeatable(this.kind));
	}

	static CallerRequest.Call call(String customer, String prompt, int tokenCount, boolean engine, boolean repeatable) {
		Specification.Route route = new Specification.Route(
				engine ? Specification.Protocol.ENGINE : Specification.Protocol.SERVICE, "draft", false, repeatable,
				List.of());
		return new CallerRequest.Call("draft", route, "POST", "/", Map.of(),
				(progress) -> (prompt + " " + tokenCount + " " + progress.tokenCount())
					.getBytes(StandardCharsets.UTF_8),
				identityOf(customer, prompt), prompt.hashCode(), repeatable);
	}

	static RequestIdentity identityOf(String customer, String prompt) {
		return RequestIdentity.of("POST", "", "/", (customer + prompt).getBytes(StandardCharsets.UTF_8), null);
	}

	static CallerRequest request(SimulatedSystem system, String customer, CallerRequest.Call call, boolean bulk,
			AnswerSink sink) {
		long nowMs = system.time().nowMs();
		return new CallerRequest(new CallerRequest.Principal(customer, Sha256Digest.of(customer), 1), call, 40, bulk,
				nowMs + QUEUE_TIME_MS, nowMs + DEADLINE_MS, sink);
	}

	/**
	 * Fails unless a text has all tokens in order, with the weight versions of the spans.
	 */
	static void requireComplete(String prompt, int tokenCount, String text, List<VersionSpan> spans) {
		List<String> expected = new ArrayList<>();
		for (VersionSpan span : spans) {
			for (int token = 0; token < span.tokenCount(); token++) {
				expected.add(prompt + "." + expected.size() + "@" + span.weightVersion());
			}
		}
		if (expected.size() != tokenCount || !text.equals(String.join(" ", expected) + " ")) {
			throw new AssertionError(prompt + " has a gap, a repeat or a wrong version: " + text);
		}
	}

	enum Kind {

		/** Text that an engine generates. */
		STREAM(true),
		/** A call of a service that may be repeated. */
		SERVICE(false),
		/** A call of a service that may run at most once. */
		ONCE(false),
		/** Text that crashes each engine that runs it. */
		POISON(true);

		private final boolean engine;

		Kind(boolean engine) {
			this.engine = engine;
		}

	}

	private final class CheckingSink implements AnswerSink {

		private final StringBuilder streamed = new StringBuilder();

		private @Nullable CallerRequest request;

		CallerRequest request(AnswerSink receiver) {
			CallerRequest made = SimulatedCaller.request(SimulatedCaller.this.system, SimulatedCaller.this.customer,
					call(), false, receiver);
			this.request = made;
			return made;
		}

		@Override
		public void onEvent(EngineEvent event) {
			if (SimulatedCaller.this.finalResults > 0) {
				throw new AssertionError(SimulatedCaller.this.prompt + " received an event after its final result");
			}
			this.streamed.append(event.text());
		}

		@Override
		public void complete(Answer answer) {
			finish(null);
			SimulatedCaller caller = SimulatedCaller.this;
			if (caller.kind.engine) {
				requireComplete(caller.prompt, caller.tokenCount, this.streamed.toString(), answer.spans());
			}
			else if (!new String(answer.body(), StandardCharsets.UTF_8).equals("done " + caller.prompt)) {
				throw new AssertionError(caller.prompt + " got the answer of another request");
			}
		}

		@Override
		public void fail(ServiceException problem) {
			ResultCode code = problem.code();
			CallerRequest sent = this.request;
			if (code.outcome() == Outcome.NOT_RUN && sent != null
					&& SimulatedCaller.this.system.hasStarted(sent.id())) {
				throw new AssertionError(SimulatedCaller.this.prompt + " was reported as not run, but ran: " + code);
			}
			if (shouldResend(code)) {
				resend();
			}
			else {
				finish(code);
			}
		}

		private boolean shouldResend(ResultCode code) {
			boolean mayRunNow = code.outcome() == Outcome.NOT_RUN || code == ResultCode.IN_PROGRESS;
			if (code == ResultCode.TARGET_CRASHED && SimulatedCaller.this.kind == Kind.POISON) {
				return SimulatedCaller.this.system.reportsAllCrashes() && SimulatedCaller.this.attempts < 2;
			}
			boolean resends = SimulatedCaller.this.kind == Kind.ONCE || code == ResultCode.SHUTTING_DOWN
					|| code == ResultCode.NO_TARGET;
			return mayRunNow && resends && SimulatedCaller.this.attempts < 20
					&& !SimulatedCaller.this.system.isWithdrawn(SimulatedCaller.this.customer);
		}

		private void finish(@Nullable ResultCode code) {
			SimulatedCaller.this.finalResults += SimulatedCaller.this.system.countedFinalResults();
			SimulatedCaller.this.failure = code;
			if (SimulatedCaller.this.finalResults > 1) {
				throw new AssertionError(SimulatedCaller.this.prompt + " got two final results");
			}
		}

	}

}

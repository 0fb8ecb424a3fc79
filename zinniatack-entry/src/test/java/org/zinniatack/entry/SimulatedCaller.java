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

/**
 * A caller with one request, and the checks of what it is told.
 */
final class SimulatedCaller {

	private static final long QUEUE_TIME_MS = 30_000;

	private static final long DEADLINE_MS = 60_000;

	private static final long RESEND_MS = 1_000;

	private final SimulatedSystem system;

	private final Kind kind;

	private final String customer;

	private final String prompt;

	private final int tokenCount;

	private @Nullable SimulatedEntry entry;

	private int attempts;

	private int finals;

	private boolean lostItsEntry;

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

	/** Returns whether the caller has its last word, or lost the entry that owed it. */
	boolean isOver() {
		return this.finals > 0 || this.lostItsEntry;
	}

	boolean isServed() {
		return this.finals > 0 && this.failure == null;
	}

	boolean hasLostItsEntry() {
		return this.lostItsEntry;
	}

	String outcome() {
		return this.prompt + " of " + this.customer + ": " + ((this.failure != null) ? this.failure.name() : "none");
	}

	void send() {
		SimulatedEntry chosen = this.system.anyEntry();
		this.entry = chosen;
		this.attempts++;
		RecordingSink sink = new RecordingSink();
		try {
			chosen.requireAuthority();
			if (this.kind == Kind.ONCE) {
				new AtMostOnceRunner(chosen.proposer(), (once) -> chosen.dispatcher().submit(sink.request(once), true))
					.run(this.customer, this.prompt, call().digest().hex(), this.system.time().nowMs())
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
				this.lostItsEntry = true;
			}
		}
	}

	private void resend() {
		this.system.time().after(RESEND_MS, this::send);
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
				Sha256Digest.of(customer + prompt), prompt.hashCode(), repeatable);
	}

	static CallerRequest request(SimulatedSystem system, String customer, CallerRequest.Call call, boolean bulk,
			AnswerSink sink) {
		long nowMs = system.time().nowMs();
		return new CallerRequest(new CallerRequest.Principal(customer, Sha256Digest.of(customer), 1), call, 40, bulk,
				nowMs + QUEUE_TIME_MS, nowMs + DEADLINE_MS, sink);
	}

	/**
	 * Fails unless a text is all tokens in order under the versions that the spans state.
	 */
	static void requireWhole(String prompt, int tokenCount, String text, List<VersionSpan> spans) {
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

		/** Text of an engine. */
		STREAM(true),
		/** A call of a service that may run again. */
		SERVICE(false),
		/** A call of a service that may not run again. */
		ONCE(false),
		/** Text that crashes each engine that runs it. */
		POISON(true);

		private final boolean engine;

		Kind(boolean engine) {
			this.engine = engine;
		}

	}

	private final class RecordingSink implements AnswerSink {

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
			if (SimulatedCaller.this.finals > 0) {
				throw new AssertionError(SimulatedCaller.this.prompt + " heard more after its last word");
			}
			this.streamed.append(event.text());
		}

		@Override
		public void complete(Answer answer) {
			finish(null);
			SimulatedCaller caller = SimulatedCaller.this;
			if (caller.kind.engine) {
				requireWhole(caller.prompt, caller.tokenCount, this.streamed.toString(), answer.spans());
			}
			else if (!new String(answer.body(), StandardCharsets.UTF_8).equals("done " + caller.prompt)) {
				throw new AssertionError(caller.prompt + " got another answer");
			}
		}

		@Override
		public void fail(ServiceException problem) {
			ResultCode code = problem.code();
			CallerRequest sent = this.request;
			if (code.outcome() == Outcome.NOT_RUN && sent != null
					&& SimulatedCaller.this.system.hasStarted(sent.id())) {
				throw new AssertionError(SimulatedCaller.this.prompt + " was said not to have run, but ran: " + code);
			}
			if (asksAgain(code)) {
				resend();
			}
			else {
				finish(code);
			}
		}

		private boolean asksAgain(ResultCode code) {
			boolean mayRunNow = code.outcome() == Outcome.NOT_RUN || code == ResultCode.IN_PROGRESS;
			if (code == ResultCode.TARGET_CRASHED && SimulatedCaller.this.kind == Kind.POISON) {
				return SimulatedCaller.this.system.makesCrashesKnown() && SimulatedCaller.this.attempts < 2;
			}
			boolean tries = SimulatedCaller.this.kind == Kind.ONCE || code == ResultCode.SHUTTING_DOWN
					|| code == ResultCode.NO_TARGET;
			return mayRunNow && tries && SimulatedCaller.this.attempts < 20
					&& !SimulatedCaller.this.system.isWithdrawn(SimulatedCaller.this.customer);
		}

		private void finish(@Nullable ResultCode code) {
			SimulatedCaller.this.finals += SimulatedCaller.this.system.countedFinals();
			SimulatedCaller.this.failure = code;
			if (SimulatedCaller.this.finals > 1) {
				throw new AssertionError(SimulatedCaller.this.prompt + " got two last words");
			}
		}

	}

}

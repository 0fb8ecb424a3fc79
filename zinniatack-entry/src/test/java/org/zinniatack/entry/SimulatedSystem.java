package org.zinniatack.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.zinniatack.core.config.RecordKind;
import org.zinniatack.core.key.Sha256Digest;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.sample.Sample;
import org.zinniatack.core.sample.StepLedger;
import org.zinniatack.core.state.Command;
import org.zinniatack.wire.Message;

/**
 * Two entries, three targets, control, callers and a trainer in virtual time. One fault
 * strikes at each chosen event; the invariants are checked after every event.
 */
final class SimulatedSystem {

	private static final int CALLERS = 14;

	private static final int LONG_CALLER = 9;

	private static final int LONG_TOKENS = 300;

	private static final int SLOTS = 8;

	private static final int SLOT_TOKENS = 25;

	private static final long ARRIVALS_MS = 1_200;

	private static final long LIMIT_MS = 100_000;

	private static final long WITHDRAWAL_BOUND_MS = 2_000;

	private static final long LEASE_BOUND_MS = 3_500;

	private static final int POISON_TARGETS = 2;

	private static final long SETTLING_MS = 8_000;

	private final VirtualTime time = new VirtualTime();

	private final Random random;

	private final Defect defect;

	private final SimulatedControl control;

	private final List<SimulatedEntry> entries = new ArrayList<>();

	private final List<SimulatedTarget> targets = new ArrayList<>();

	private final List<SimulatedCaller> callers = new ArrayList<>();

	private final Set<String> started = new HashSet<>();

	private final Map<String, Integer> runsOfOnce = new HashMap<>();

	private final Map<String, Integer> poisoned = new HashMap<>();

	private final Map<Integer, Fault> faultsByEvent = new LinkedHashMap<>();

	private List<Sample> batch = List.of();

	private boolean late;

	private boolean doubled;

	private long withdrawnAtMs = Long.MAX_VALUE;

	private long silentSinceMs = Long.MAX_VALUE;

	private int eventNumber;

	SimulatedSystem(long seed, boolean poison, Defect defect) {
		this.random = new Random(seed);
		this.defect = defect;
		this.control = new SimulatedControl(this);
		setUpRecords();
		for (int number = 1; number <= 3; number++) {
			this.targets.add(new SimulatedTarget(this, "target-" + number));
		}
		startEntry();
		startEntry();
		SimulatedCaller.Kind[] kinds = SimulatedCaller.Kind.values();
		for (int number = 0; number < CALLERS; number++) {
			SimulatedCaller.Kind kind = (poison && number == 3) ? SimulatedCaller.Kind.POISON : kinds[number % 3];
			SimulatedCaller caller = new SimulatedCaller(this, kind, (number % 2 == 0) ? "a" : "b", number,
					(number == LONG_CALLER) ? LONG_TOKENS : (int) random(10, 60));
			this.callers.add(caller);
			this.time.after(random(50, ARRIVALS_MS), caller::send);
		}
		this.time.after(100, this::submitStep);
	}

	private void setUpRecords() {
		for (String customer : List.of("a", "b", "trainer")) {
			put(RecordKind.CUSTOMER, customer, "{\"weight\":1}");
			put(RecordKind.KEY, customer,
					"{\"customer\":\"" + customer + "\",\"digestSha256\":\"" + Sha256Digest.of(customer).hex() + "\"}");
		}
		this.control.apply(new Command.AnnounceWeights("draft", 1));
	}

	private void put(RecordKind kind, String name, String document) {
		this.control.apply(new Command.PutRecord(kind + name, kind, name, 2, document, 0));
	}

	VirtualTime time() {
		return this.time;
	}

	SimulatedControl control() {
		return this.control;
	}

	List<SimulatedEntry> entries() {
		return this.entries;
	}

	SimulatedEntry anyEntry() {
		List<SimulatedEntry> alive = this.entries.stream().filter(SimulatedEntry::isAlive).toList();
		return alive.get((int) random(0, alive.size()));
	}

	/** Returns a number from the first on and below the second. */
	long random(long from, long below) {
		return from + this.random.nextInt((int) (below - from));
	}

	boolean deliversLate() {
		return this.late;
	}

	boolean doublesFinals() {
		return this.doubled;
	}

	boolean isWithdrawn(String customer) {
		return customer.equals("b") && this.withdrawnAtMs <= this.time.nowMs();
	}

	boolean treatsAsRepeatable(SimulatedCaller.Kind kind) {
		return kind != SimulatedCaller.Kind.ONCE || this.defect == Defect.AT_MOST_ONCE_REPEATED;
	}

	int countedFinals() {
		return switch (this.defect) {
			case FINAL_RESULT_DUPLICATED -> 2;
			case FINAL_RESULT_LOST -> 0;
			default -> 1;
		};
	}

	/**
	 * Returns whether every crash is known everywhere once its request has its answer.
	 */
	boolean makesCrashesKnown() {
		return this.faultsByEvent.values().stream().noneMatch((fault) -> fault.hidesCrashes);
	}

	boolean hasDefect(Defect named) {
		return this.defect == named;
	}

	boolean hasStarted(String requestId) {
		return this.defect == Defect.NOT_RUN_MISREPORTED || this.started.contains(requestId);
	}

	void recordStart(Message.Run run) {
		this.started.add(run.requestId().substring(0, run.requestId().lastIndexOf('-')));
		String prompt = promptOf(run);
		if (prompt.startsWith("once") && this.runsOfOnce.merge(prompt, 1, Integer::sum) > 1) {
			throw new AssertionError(prompt + " ran twice");
		}
	}

	private static String promptOf(Message.Run run) {
		return new String(run.body(), StandardCharsets.UTF_8).split(" ")[0];
	}

	void poisonTook(String prompt) {
		if (this.poisoned.merge(prompt, 1, Integer::sum) > POISON_TARGETS) {
			throw new AssertionError(prompt + " took a third target");
		}
	}

	private void startEntry() {
		SimulatedEntry entry = new SimulatedEntry(this, random(0, 1_000));
		this.entries.add(entry);
		if (!this.control.isSilent()) {
			this.control.feed(entry);
		}
		this.targets.forEach((target) -> target.connect(entry));
	}

	private void submitStep() {
		if (!this.batch.isEmpty()) {
			return;
		}
		SimulatedEntry entry = anyEntry();
		entry.runStep("step", SLOTS, new StepRunner.Submitter() {

			@Override
			public CallerRequest submit(int slot, AnswerSink sink) throws ServiceException {
				CallerRequest request = SimulatedCaller.request(SimulatedSystem.this, "trainer",
						SimulatedCaller.call("trainer", "slot" + slot, SLOT_TOKENS, true, true), true, sink);
				entry.dispatcher().submit(request, false);
				return request;
			}

			@Override
			public void cancel(CallerRequest request) {
				entry.dispatcher().abort(request, ServiceException.of(ResultCode.ANSWER_CUT_SHORT, "not needed"));
			}

		});
		this.time.after(2_000, this::submitStep);
	}

	void strike(int atEvent, Fault fault) {
		this.faultsByEvent.put(atEvent, fault);
	}

	/** Runs until everything is answered, and returns the number of events. */
	int run() {
		while (!isOver()) {
			if (this.time.nowMs() > LIMIT_MS) {
				throw new AssertionError("unanswered after " + LIMIT_MS + " ms: " + unanswered());
			}
			Fault fault = this.faultsByEvent.get(++this.eventNumber);
			if (fault != null) {
				inject(fault);
			}
			this.time.runNext();
			checkAlways();
		}
		int events = this.eventNumber;
		long settledMs = this.time.nowMs() + SETTLING_MS;
		while (this.time.nowMs() < settledMs) {
			this.time.runNext();
		}
		checkAtRest();
		return events;
	}

	private boolean isOver() {
		return this.callers.stream().allMatch(SimulatedCaller::isOver) && (!this.batch.isEmpty() || isStepQuarantined())
				&& this.faultsByEvent.keySet().stream().allMatch((event) -> event <= this.eventNumber);
	}

	/** Returns whether a sample ran alone while a target crashed for another reason. */
	private boolean isStepQuarantined() {
		List<String> quarantined = this.control.state().crashes().quarantined();
		return this.poisoned.size() > 0 && IntStream.range(0, SLOTS)
			.anyMatch((slot) -> quarantined.contains(Sha256Digest.of("trainerslot" + slot).hex()));
	}

	private String unanswered() {
		return this.callers.stream().filter((caller) -> !caller.isOver()).map(SimulatedCaller::outcome).toList()
				+ " batch " + this.batch.size();
	}

	private void checkAlways() {
		long nowMs = this.time.nowMs();
		boolean mustBeGone = nowMs - this.withdrawnAtMs > WITHDRAWAL_BOUND_MS
				&& nowMs - this.silentSinceMs > LEASE_BOUND_MS + WITHDRAWAL_BOUND_MS;
		boolean withdrawalIsKnown = this.silentSinceMs == Long.MAX_VALUE
				&& nowMs - this.withdrawnAtMs > WITHDRAWAL_BOUND_MS;
		if (mustBeGone || withdrawalIsKnown) {
			for (SimulatedTarget target : this.targets) {
				target.running().forEach((exchange) -> requireNotWithdrawn(exchange.run()));
			}
		}
	}

	private void requireNotWithdrawn(Message.Run run) {
		for (SimulatedCaller caller : this.callers) {
			String digest = Sha256Digest.of(caller.customer() + promptOf(run)).hex();
			if (caller.customer().equals("b") && digest.equals(run.requestDigest())) {
				throw new AssertionError(promptOf(run) + " runs although its key is withdrawn");
			}
		}
	}

	/**
	 * Fails if the committed batch has a wrong sample or has changed; for each command.
	 */
	void checkBatch() {
		try {
			List<Sample> now = this.control.state().steps().batch(new StepLedger.StepId("trainer", "step"));
			if (!this.batch.isEmpty() && !this.batch.equals(now)) {
				throw new AssertionError("the batch changed after it was committed");
			}
			if (this.batch.isEmpty()) {
				now.forEach((sample) -> SimulatedCaller.requireWhole("slot" + sample.slot(), SLOT_TOKENS, sample.text(),
						sample.spans()));
				this.batch = List.copyOf(now);
			}
		}
		catch (ServiceException ex) {
			if (!this.batch.isEmpty()) {
				throw new AssertionError("the batch is gone", ex);
			}
		}
	}

	private void checkAtRest() {
		for (SimulatedEntry entry : this.entries) {
			if (entry.isAlive()) {
				require(entry.dispatcher().openRequestCount() == 0, "an entry still holds "
						+ entry.dispatcher().openRequestCount() + " requests " + entry.dispatcher().poolLoads());
				entry.dispatcher()
					.targets()
					.forEach((target) -> require(target.ownRunningCount() == 0, target.targetId() + " counts a run"));
			}
		}
		this.targets.forEach((target) -> require(target.running().isEmpty(), "a target still runs a request"));
	}

	private static void require(boolean condition, String otherwise) {
		if (!condition) {
			throw new AssertionError(otherwise);
		}
	}

	/** Fails unless every caller was served whose request the fault did not touch. */
	void requireServed(Fault fault) {
		boolean poison = this.callers.stream().anyMatch((caller) -> caller.kind() == SimulatedCaller.Kind.POISON);
		if (poison && fault.losesRuns) {
			return;
		}
		for (SimulatedCaller caller : this.callers) {
			boolean excused = caller.hasLostItsEntry() || caller.kind() == SimulatedCaller.Kind.POISON
					|| (caller.kind() == SimulatedCaller.Kind.ONCE && (poison || fault.losesRuns))
					|| (fault == Fault.KEY_WITHDRAWN && caller.customer().equals("b")) || fault == Fault.CONTROL_SILENT;
			require(excused || caller.isServed(), caller.outcome());
		}
	}

	private void inject(Fault fault) {
		SimulatedTarget target = this.targets.get((int) random(0, this.targets.size()));
		SimulatedEntry entry = anyEntry();
		switch (fault) {
			case TARGET_CRASHED -> strikeFor(800, target::crash, target::restart);
			case AGENT_LOST -> strikeFor(1_000, target::becomeUnreachable, () -> rejoin(target));
			case LINK_CUT -> strikeFor(300, () -> target.disconnect(entry), () -> target.connect(entry));
			case ENTRY_LOST -> loseEntry(entry);
			case ENTRY_STOPPED -> entry.dispatcher().stopAdmitting();
			case AGENT_STOPPED -> target.leave(true);
			case TARGET_DRAINED -> strikeFor(3_000, () -> target.leave(true), () -> target.leave(false));
			case KEY_WITHDRAWN -> withdrawKey();
			case CONTROL_SILENT -> strikeFor(5_000, this::silenceControl, () -> this.control.setSilent(false));
			case ANSWERS_LATE -> deliverLate();
			case ANSWERS_DOUBLED -> doubleFinals();
			case ANSWER_CUT -> target.cutNextAnswer();
			case LOADS_LATE -> this.targets.forEach((any) -> any.loadDelay(3_000));
			case TARGET_SLOW -> strikeFor(3_000, () -> target.tokenInterval(200), () -> target.tokenInterval(10));
			case WEIGHTS_NEW -> this.control.apply(new Command.AnnounceWeights("draft", 2));
		}
		if (fault == Fault.WEIGHTS_NEW) {
			this.targets.forEach((any) -> this.time.after(random(10, 500), () -> any.takeWeights(2)));
		}
		if (this.defect == Defect.SLOT_NOT_RELEASED && fault == Fault.LINK_CUT) {
			entry.dispatcher().targets().forEach((any) -> any.requestStarted(false));
		}
	}

	private void strikeFor(long durationMs, Runnable strike, Runnable heal) {
		strike.run();
		this.time.after(durationMs, heal);
	}

	private void rejoin(SimulatedTarget target) {
		target.becomeReachable();
		this.entries.forEach(target::connect);
	}

	private void loseEntry(SimulatedEntry entry) {
		entry.crash();
		this.targets.forEach((target) -> target.disconnect(entry));
		if (this.entries.stream().noneMatch(SimulatedEntry::isAlive)) {
			startEntry();
		}
		this.callers.forEach((caller) -> caller.onEntryLost(entry));
		this.time.after(500, this::startEntry);
	}

	private void withdrawKey() {
		if (this.withdrawnAtMs != Long.MAX_VALUE) {
			return;
		}
		this.withdrawnAtMs = this.time.nowMs();
		if (this.defect != Defect.WITHDRAWAL_NOT_SENT) {
			this.control.state()
				.records()
				.find(RecordKind.KEY, "b")
				.ifPresent((record) -> this.control
					.apply(new Command.WithdrawRecord("withdraw", RecordKind.KEY, "b", record.revision())));
		}
	}

	private void deliverLate() {
		this.late = true;
	}

	private void doubleFinals() {
		this.doubled = true;
	}

	private void silenceControl() {
		this.silentSinceMs = this.time.nowMs();
		this.control.setSilent(true);
	}

	/** What goes wrong. */
	enum Fault {

		TARGET_CRASHED(true, false), AGENT_LOST(true, true), LINK_CUT(true, true), ENTRY_LOST(true, true),
		ENTRY_STOPPED(false, false), AGENT_STOPPED(false, false), TARGET_DRAINED(false, false),
		KEY_WITHDRAWN(false, false), CONTROL_SILENT(true, true), ANSWERS_LATE(false, false),
		ANSWERS_DOUBLED(false, false), ANSWER_CUT(false, false), LOADS_LATE(false, false), TARGET_SLOW(false, false),
		WEIGHTS_NEW(false, false);

		/** Whether a run may be lost whose outcome nobody can know. */
		private final boolean losesRuns;

		/** Whether control may not hear of a crash. */
		private final boolean hidesCrashes;

		Fault(boolean losesRuns, boolean hidesCrashes) {
			this.losesRuns = losesRuns;
			this.hidesCrashes = hidesCrashes;
		}

	}

	/** What is broken on purpose, to show that a check finds it. */
	enum Defect {

		NONE, AT_MOST_ONCE_REPEATED, FINAL_RESULT_DUPLICATED, WITHDRAWAL_NOT_SENT, SLOT_NOT_RELEASED,
		RESUME_OFFSET_IGNORED, CRASH_NOT_REPORTED, TEXT_OF_OTHER_REQUEST, BYSTANDERS_QUARANTINED, NOT_RUN_MISREPORTED,
		FINAL_RESULT_LOST

	}

}

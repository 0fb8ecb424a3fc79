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
 * Simulates two entries, three targets, control, callers and a trainer in virtual time.
 * Injects the scheduled faults and checks the invariants after every event.
 */
final class SimulatedSystem {

	private static final int CALLERS = 14;

	private static final int LONG_CALLER = 9;

	private static final int LONG_TOKENS = 300;

	private static final int SLOTS = 8;

	private static final int SLOT_TOKENS = 25;

	private static final long ARRIVALS_MS = 1_200;

	private static final long TIME_LIMIT_MS = 100_000;

	private static final long WITHDRAWAL_BOUND_MS = 2_000;

	private static final long LEASE_BOUND_MS = 3_500;

	private static final int MAXIMUM_POISON_CRASHES = 2;

	private static final long SETTLING_MS = 8_000;

	private final VirtualTime time = new VirtualTime();

	private final Random random;

	private final Defect defect;

	private final SimulatedControl control;

	private final List<SimulatedEntry> entries = new ArrayList<>();

	private final List<SimulatedTarget> targets = new ArrayList<>();

	private final List<SimulatedCaller> callers = new ArrayList<>();

	private final Set<String> started = new HashSet<>();

	private final Map<String, Integer> atMostOnceRuns = new HashMap<>();

	private final Map<String, Integer> poisonCrashes = new HashMap<>();

	private final Map<Integer, Fault> faultsByEvent = new LinkedHashMap<>();

	private List<Sample> batch = List.of();

	private boolean deliveringLate;

	private boolean duplicating;

	private long withdrawnAtMs = Long.MAX_VALUE;

	private long controlSilentSinceMs = Long.MAX_VALUE;

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

	/** Returns a random number, at least {@code from} and below {@code below}. */
	long random(long from, long below) {
		return from + this.random.nextInt((int) (below - from));
	}

	boolean deliversLateMessages() {
		return this.deliveringLate;
	}

	boolean duplicatesFinalMessages() {
		return this.duplicating;
	}

	boolean isWithdrawn(String customer) {
		return customer.equals("b") && this.withdrawnAtMs <= this.time.nowMs();
	}

	boolean treatsAsRepeatable(SimulatedCaller.Kind kind) {
		return kind != SimulatedCaller.Kind.ONCE || this.defect == Defect.AT_MOST_ONCE_REPEATED;
	}

	int countedFinalResults() {
		return switch (this.defect) {
			case FINAL_RESULT_DUPLICATED -> 2;
			case FINAL_RESULT_LOST -> 0;
			default -> 1;
		};
	}

	/**
	 * Returns whether every crash reaches control and the entries before its request is
	 * answered.
	 */
	boolean reportsAllCrashes() {
		return this.faultsByEvent.values().stream().noneMatch((fault) -> fault.hidesCrashes);
	}

	boolean hasDefect(Defect other) {
		return this.defect == other;
	}

	boolean hasStarted(String requestId) {
		return this.defect == Defect.NOT_RUN_MISREPORTED || this.started.contains(requestId);
	}

	void recordStart(Message.Run run) {
		this.started.add(run.requestId().substring(0, run.requestId().lastIndexOf('-')));
		String prompt = promptOf(run);
		if (prompt.startsWith("once") && this.atMostOnceRuns.merge(prompt, 1, Integer::sum) > 1) {
			throw new AssertionError(prompt + " ran twice");
		}
	}

	private static String promptOf(Message.Run run) {
		return new String(run.body(), StandardCharsets.UTF_8).split(" ")[0];
	}

	void recordPoisonCrash(String prompt) {
		if (this.poisonCrashes.merge(prompt, 1, Integer::sum) > MAXIMUM_POISON_CRASHES) {
			throw new AssertionError(prompt + " crashed a third target");
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

	void scheduleFault(int atEvent, Fault fault) {
		this.faultsByEvent.put(atEvent, fault);
	}

	/** Runs until all requests are answered and returns the number of events. */
	int run() {
		while (!isOver()) {
			if (this.time.nowMs() > TIME_LIMIT_MS) {
				throw new AssertionError("unanswered after " + TIME_LIMIT_MS + " ms: " + unanswered());
			}
			Fault fault = this.faultsByEvent.get(++this.eventNumber);
			if (fault != null) {
				inject(fault);
			}
			this.time.runNext();
			checkInvariants();
		}
		int events = this.eventNumber;
		long settledMs = this.time.nowMs() + SETTLING_MS;
		while (this.time.nowMs() < settledMs) {
			this.time.runNext();
		}
		checkIdle();
		return events;
	}

	private boolean isOver() {
		return this.callers.stream().allMatch(SimulatedCaller::isOver) && (!this.batch.isEmpty() || isStepQuarantined())
				&& this.faultsByEvent.keySet().stream().allMatch((event) -> event <= this.eventNumber);
	}

	/**
	 * Returns whether a sample is quarantined although another request caused the crash.
	 */
	private boolean isStepQuarantined() {
		List<String> quarantined = this.control.state().crashes().quarantined();
		return this.poisonCrashes.size() > 0 && IntStream.range(0, SLOTS)
			.anyMatch((slot) -> quarantined.contains(Sha256Digest.of("trainerslot" + slot).hex()));
	}

	private String unanswered() {
		return this.callers.stream().filter((caller) -> !caller.isOver()).map(SimulatedCaller::outcome).toList()
				+ " batch " + this.batch.size();
	}

	private void checkInvariants() {
		long nowMs = this.time.nowMs();
		boolean leaseExpired = nowMs - this.withdrawnAtMs > WITHDRAWAL_BOUND_MS
				&& nowMs - this.controlSilentSinceMs > LEASE_BOUND_MS + WITHDRAWAL_BOUND_MS;
		boolean withdrawalDelivered = this.controlSilentSinceMs == Long.MAX_VALUE
				&& nowMs - this.withdrawnAtMs > WITHDRAWAL_BOUND_MS;
		if (leaseExpired || withdrawalDelivered) {
			for (SimulatedTarget target : this.targets) {
				target.running().forEach((exchange) -> requireNotWithdrawn(exchange.run()));
			}
		}
	}

	private void requireNotWithdrawn(Message.Run run) {
		for (SimulatedCaller caller : this.callers) {
			String digest = SimulatedCaller.identityOf(caller.customer(), promptOf(run)).digest();
			if (caller.customer().equals("b") && digest.equals(run.requestDigest())) {
				throw new AssertionError(promptOf(run) + " runs although its key is withdrawn");
			}
		}
	}

	/**
	 * Fails if the committed batch has a wrong sample or has changed. Called after each
	 * command.
	 */
	void checkBatch() {
		try {
			List<Sample> now = this.control.state().steps().batch(new StepLedger.StepId("trainer", "step"));
			if (!this.batch.isEmpty() && !this.batch.equals(now)) {
				throw new AssertionError("the batch changed after it was committed");
			}
			if (this.batch.isEmpty()) {
				now.forEach((sample) -> SimulatedCaller.requireComplete("slot" + sample.slot(), SLOT_TOKENS,
						sample.text(), sample.spans()));
				this.batch = List.copyOf(now);
			}
		}
		catch (ServiceException ex) {
			if (!this.batch.isEmpty()) {
				throw new AssertionError("the batch is gone", ex);
			}
		}
	}

	private void checkIdle() {
		for (SimulatedEntry entry : this.entries) {
			if (entry.isAlive()) {
				require(entry.dispatcher().openRequestCount() == 0, "an entry still has "
						+ entry.dispatcher().openRequestCount() + " open requests " + entry.dispatcher().poolLoads());
				entry.dispatcher()
					.targets()
					.forEach((target) -> require(target.ownRunningCount() == 0,
							target.targetId() + " counts a running request"));
			}
		}
		this.targets.forEach((target) -> require(target.running().isEmpty(), "a target still runs a request"));
	}

	private static void require(boolean condition, String otherwise) {
		if (!condition) {
			throw new AssertionError(otherwise);
		}
	}

	/** Fails unless every caller whose request the fault does not affect was served. */
	void requireServed(Fault fault) {
		boolean poison = this.callers.stream().anyMatch((caller) -> caller.kind() == SimulatedCaller.Kind.POISON);
		if (poison && fault.losesRuns) {
			return;
		}
		for (SimulatedCaller caller : this.callers) {
			boolean excused = caller.hasLostEntry() || caller.kind() == SimulatedCaller.Kind.POISON
					|| (caller.kind() == SimulatedCaller.Kind.ONCE && (poison || fault.losesRuns))
					|| (fault == Fault.KEY_WITHDRAWN && caller.customer().equals("b")) || fault == Fault.CONTROL_SILENT;
			require(excused || caller.isServed(), caller.outcome());
		}
	}

	private void inject(Fault fault) {
		SimulatedTarget target = this.targets.get((int) random(0, this.targets.size()));
		SimulatedEntry entry = anyEntry();
		switch (fault) {
			case TARGET_CRASHED -> injectFor(800, target::crash, target::restart);
			case AGENT_LOST -> injectFor(1_000, target::becomeUnreachable, () -> reconnect(target));
			case LINK_CUT -> injectFor(300, () -> target.disconnect(entry), () -> target.connect(entry));
			case ENTRY_LOST -> loseEntry(entry);
			case ENTRY_STOPPED -> entry.dispatcher().stopAdmitting();
			case AGENT_STOPPED -> target.setLeaving(true);
			case TARGET_DRAINED -> injectFor(3_000, () -> target.setLeaving(true), () -> target.setLeaving(false));
			case KEY_WITHDRAWN -> withdrawKey();
			case CONTROL_SILENT -> injectFor(5_000, this::silenceControl, () -> this.control.setSilent(false));
			case ANSWERS_LATE -> deliverLateMessages();
			case ANSWERS_DOUBLED -> duplicateFinalMessages();
			case ANSWER_CUT -> target.truncateNextAnswer();
			case LOADS_LATE -> this.targets.forEach((any) -> any.setLoadDelay(3_000));
			case TARGET_SLOW -> injectFor(3_000, () -> target.setTokenInterval(200), () -> target.setTokenInterval(10));
			case WEIGHTS_NEW -> this.control.apply(new Command.AnnounceWeights("draft", 2));
		}
		if (fault == Fault.WEIGHTS_NEW) {
			this.targets.forEach((any) -> this.time.after(random(10, 500), () -> any.loadWeights(2)));
		}
		if (this.defect == Defect.SLOT_NOT_RELEASED && fault == Fault.LINK_CUT) {
			entry.dispatcher().targets().forEach((any) -> any.requestStarted(false));
		}
	}

	private void injectFor(long durationMs, Runnable startFault, Runnable recover) {
		startFault.run();
		this.time.after(durationMs, recover);
	}

	private void reconnect(SimulatedTarget target) {
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

	private void deliverLateMessages() {
		this.deliveringLate = true;
	}

	private void duplicateFinalMessages() {
		this.duplicating = true;
	}

	private void silenceControl() {
		this.controlSilentSinceMs = this.time.nowMs();
		this.control.setSilent(true);
	}

	/** A fault that the simulation injects. */
	enum Fault {

		TARGET_CRASHED(true, false), AGENT_LOST(true, true), LINK_CUT(true, true), ENTRY_LOST(true, true),
		ENTRY_STOPPED(false, false), AGENT_STOPPED(false, false), TARGET_DRAINED(false, false),
		KEY_WITHDRAWN(false, false), CONTROL_SILENT(true, true), ANSWERS_LATE(false, false),
		ANSWERS_DOUBLED(false, false), ANSWER_CUT(false, false), LOADS_LATE(false, false), TARGET_SLOW(false, false),
		WEIGHTS_NEW(false, false);

		/** Whether a run may be lost with an unknown outcome. */
		private final boolean losesRuns;

		/** Whether the report of a crash to control may be lost. */
		private final boolean hidesCrashes;

		Fault(boolean losesRuns, boolean hidesCrashes) {
			this.losesRuns = losesRuns;
			this.hidesCrashes = hidesCrashes;
		}

	}

	/** A defect put in on purpose to verify that a check detects it. */
	enum Defect {

		NONE, AT_MOST_ONCE_REPEATED, FINAL_RESULT_DUPLICATED, WITHDRAWAL_NOT_SENT, SLOT_NOT_RELEASED,
		RESUME_OFFSET_IGNORED, CRASH_NOT_REPORTED, TEXT_OF_OTHER_REQUEST, BYSTANDERS_QUARANTINED, NOT_RUN_MISREPORTED,
		FINAL_RESULT_LOST

	}

}

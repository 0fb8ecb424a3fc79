package org.zinniatack.core.state;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.config.ConfigurationRecord;
import org.zinniatack.core.config.RecordTable;
import org.zinniatack.core.directory.LeftTarget;
import org.zinniatack.core.duty.DutyClaim;
import org.zinniatack.core.duty.DutyHolders;
import org.zinniatack.core.job.EarlyEnds;
import org.zinniatack.core.job.Job;
import org.zinniatack.core.job.JobEffect;
import org.zinniatack.core.job.JobLedger;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.sample.Step;
import org.zinniatack.core.sample.StepLedger;
import org.zinniatack.core.stream.SoftwareHistory;
import org.zinniatack.core.stream.SoftwareSighting;
import org.zinniatack.core.table.CurrentRoutingTable;
import org.zinniatack.core.usage.UsageLedger;

/**
 * The replicated state of the control processes. Applying the same commands in the same
 * order gives the same state and the same replies on every replica.
 */
public final class ControlState {

	private static final int MAX_DRAINING_TARGETS = 4096;

	private final Set<String> draining = new LinkedHashSet<>();

	private RecordTable records = new RecordTable();

	private RequestHistory history = new RequestHistory();

	private IntentTable intents = new IntentTable();

	private StepLedger steps = new StepLedger();

	private UsageLedger usage = new UsageLedger();

	private CrashTable crashes = new CrashTable();

	private CurrentRoutingTable table = new CurrentRoutingTable();

	private JobLedger jobs = new JobLedger();

	private LeftTargets left = LeftTargets.of(List.of());

	private EvacuationOrders evacuations = EvacuationOrders.of(List.of());

	private SoftwareHistory software = new SoftwareHistory(List.of());

	private DutyHolders dutyHolders = DutyHolders.none();

	private final Set<String> retiring = new LinkedHashSet<>();

	private final Map<String, TargetOrder> orders = new TreeMap<>();

	private final Map<String, Long> weights = new TreeMap<>();

	private long appliedIndex;

	/**
	 * Restores the state from its stored form.
	 * @param image the stored form
	 * @return the restored state
	 * @throws ServiceException if a record cannot be read under its schema version
	 */
	public static ControlState of(Image image) throws ServiceException {
		ControlState state = new ControlState();
		state.records = RecordTable.of(image.recordRevision(), image.records());
		state.history = RequestHistory.of(image.answered());
		state.intents = IntentTable.of(image.intents());
		state.steps = StepLedger.of(image.steps());
		state.usage = UsageLedger.of(image.usage());
		state.crashes = CrashTable.of(image.crashes());
		state.table = CurrentRoutingTable.of(image.table());
		state.jobs = JobLedger.of(image.jobs(), image.earlyEnds());
		state.retiring.addAll(image.retiring());
		state.left = LeftTargets.of(image.left());
		state.evacuations = EvacuationOrders.of(image.evacuations());
		state.software = new SoftwareHistory(image.software());
		state.dutyHolders = new DutyHolders(image.dutyHolders());
		image.orders().forEach((order) -> state.orders.put(order.pool(), order));
		state.weights.putAll(image.weights());
		state.draining.addAll(image.draining());
		state.appliedIndex = image.appliedIndex();
		return state;
	}

	/**
	 * Applies a command.
	 * @param index the log index of the command, larger than any before
	 * @param command the command
	 * @return the reply; a refused command has changed nothing
	 */
	public Reply apply(long index, Command command) {
		this.appliedIndex = index;
		if (command instanceof Command.PutRecord put) {
			return this.history.replyOnce(put.requestId(), put, () -> put(index, put));
		}
		if (command instanceof Command.WithdrawRecord withdraw) {
			return this.history.replyOnce(withdraw.requestId(), withdraw, () -> withdraw(index, withdraw));
		}
		try {
			return applyWithoutHistory(index, command);
		}
		catch (ServiceException ex) {
			return Reply.refused(ex);
		}
	}

	private Reply put(long index, Command.PutRecord command) {
		try {
			this.records.put(new ConfigurationRecord(command.kind(), command.name(), command.schemaVersion(), index,
					false, command.document()), command.expectedRevision());
			return new Reply.Accepted(index);
		}
		catch (ServiceException ex) {
			return Reply.refused(ex);
		}
	}

	private Reply withdraw(long index, Command.WithdrawRecord command) {
		try {
			this.records.withdraw(command.kind(), command.name(), command.expectedRevision(), index);
			return new Reply.Accepted(index);
		}
		catch (ServiceException ex) {
			return Reply.refused(ex);
		}
	}

	private Reply applyWithoutHistory(long index, Command command) throws ServiceException {
		if (command instanceof Command.BeginIntent begin) {
			return new Reply.Intent(this.intents.begin(begin));
		}
		if (command instanceof Command.SubmitJob submit) {
			return new Reply.Accepted(index, submit(index, submit));
		}
		if (command instanceof Command.EndJob end) {
			return new Reply.Accepted(index, this.jobs.end(end.call(), index));
		}
		if (command instanceof Command.FinishIntent finish) {
			this.intents.finish(finish);
		}
		else if (command instanceof Command.OrderTargets order) {
			this.orders.put(order.pool(),
					new TargetOrder(order.pool(), index, Map.copyOf(order.countsByFailureDomain())));
		}
		else if (command instanceof Command.AnnounceWeights announced) {
			this.weights.merge(announced.model(), announced.version(), Math::max);
		}
		else if (command instanceof Command.ReportCrash crash) {
			return report(index, crash);
		}
		else if (command instanceof Command.ClearSuspect clear) {
			this.crashes.clearSuspect(clear.requestDigest());
		}
		else if (command instanceof Command.LiftQuarantine lift) {
			this.crashes.liftQuarantine(lift.requestDigest());
		}
		else if (command instanceof Command.DrainTarget drain) {
			drain(drain);
		}
		else if (command instanceof Command.EvacuateDomain evacuate) {
			this.evacuations = this.evacuations.with(index, evacuate);
		}
		else if (!applyUsage(command) && !applyJob(command)) {
			return applyStep(index, command);
		}
		return new Reply.Accepted(index);
	}

	private Reply report(long index, Command.ReportCrash crash) {
		if (!crash.requestDigests().isEmpty()) {
			this.crashes.report(crash.crashId(), crash.requestDigests());
		}
		this.crashes.reportLosses(crash.answeredDigests(), crash.losses());
		Command.ReportCrash.Trial trial = crash.trial();
		return (trial == null || this.crashes.beginTrial(trial)) ? new Reply.Accepted(index)
				: new Reply.Refused(ResultCode.QUARANTINED, "another entry tries the request", 0);
	}

	private void drain(Command.DrainTarget command) {
		SoftwareSighting sighting = command.software();
		if (sighting != null) {
			this.software = this.software.with(sighting);
			return;
		}
		DutyClaim claim = command.duty();
		if (claim != null) {
			this.dutyHolders = this.dutyHolders.with(claim);
			return;
		}
		LeftTarget leftTarget = command.left();
		if (leftTarget != null) {
			this.left = this.left.with(leftTarget);
		}
		this.draining.remove(command.targetId());
		if (command.leaving()) {
			this.draining.add(command.targetId());
		}
		if (this.draining.size() > MAX_DRAINING_TARGETS) {
			this.draining.remove(this.draining.iterator().next());
		}
	}

	private boolean applyUsage(Command command) {
		if (command instanceof Command.RecordUsage usageReport) {
			this.usage.record(usageReport.source(), usageReport.sequence(), usageReport.windowStartMs(),
					usageReport.figures());
		}
		else if (command instanceof Command.RecordUsagePart recovered) {
			this.usage.record(recovered.part());
		}
		else if (command instanceof Command.CloseWindow close) {
			this.usage.close(close.startMs(), close.endMs());
		}
		else if (command instanceof Command.AcknowledgeWindow acknowledge) {
			this.usage.acknowledge(acknowledge.startMs());
		}
		else {
			return false;
		}
		return true;
	}

	private boolean applyJob(Command command) throws ServiceException {
		if (command instanceof Command.ReplaceTable replace) {
			this.table.replace(replace.table(), replace.document());
		}
		else if (command instanceof Command.FinishItems finish) {
			this.jobs.addResults(finish.id(), finish.results(), finish.storedEvents());
		}
		else if (command instanceof Command.RecordProgress progressed) {
			this.jobs.storeProgress(progressed.id(), progressed.progress());
		}
		else if (command instanceof Command.RemoveJobs removal) {
			remove(removal);
		}
		else if (command instanceof Command.RetireMember retire) {
			this.retiring.add(retire.memberName());
		}
		else {
			return false;
		}
		return true;
	}

	private JobEffect submit(long index, Command.SubmitJob submit) throws ServiceException {
		Long knownEndsIndex = submit.knownEndsIndex();
		return (knownEndsIndex != null)
				? this.jobs.submit(submit.submission(), submit.ownerMatch(), index, knownEndsIndex)
				: this.jobs.submit(submit.submission());
	}

	private void remove(Command.RemoveJobs removal) {
		Long forgettableIndex = removal.forgettableIndex();
		if (forgettableIndex == null) {
			this.jobs.removeJobs(removal.ids());
		}
		else {
			this.jobs.removeJobs(removal.ids(), forgettableIndex);
		}
	}

	private Reply applyStep(long index, Command command) throws ServiceException {
		if (command instanceof Command.OpenStep open) {
			return new Reply.Slots(this.steps.open(new StepLedger.StepId(open.customer(), open.step()), open.model(),
					open.digest(), open.slotCount(), open.ageBoundVersions()));
		}
		if (command instanceof Command.FillSlots fill) {
			StepLedger.StepId id = new StepLedger.StepId(fill.customer(), fill.step());
			return new Reply.Slots(this.steps.fill(id, fill.samples(), newestWeightVersion(this.steps.modelOf(id))));
		}
		if (command instanceof Command.CommitStep commit) {
			StepLedger.StepId id = new StepLedger.StepId(commit.customer(), commit.step());
			return new Reply.Slots(this.steps.commit(id, newestWeightVersion(this.steps.modelOf(id))));
		}
		if (command instanceof Command.ReleaseStep release) {
			this.steps.release(new StepLedger.StepId(release.customer(), release.step()));
		}
		return new Reply.Accepted(index);
	}

	/**
	 * Returns the log index of the last applied command.
	 * @return the index
	 */
	public long appliedIndex() {
		return this.appliedIndex;
	}

	/**
	 * Returns the suspect and quarantined requests.
	 * @return the stored form of the table
	 */
	public CrashTable.Image crashes() {
		return this.crashes.image();
	}

	/**
	 * Returns the requests that entries without agents lost on targets that ended.
	 * @return the requests, which only this state may change
	 */
	public SuspectedRequests lostRequests() {
		return this.crashes.lost();
	}

	/**
	 * Returns the targets that must accept no new work.
	 * @return the ids of the targets
	 */
	public Set<String> drainingTargets() {
		return Set.copyOf(this.draining);
	}

	/**
	 * Returns the targets that left lately, by the key of their start.
	 * @return an unmodifiable map, the same object until another target leaves
	 */
	public Map<String, LeftTarget> leftTargets() {
		return this.left.byKey();
	}

	/**
	 * Returns the failure domains to whose targets nothing is sent.
	 * @return the names of the failure domains
	 */
	public Set<String> evacuatedDomains() {
		return this.evacuations.evacuatedDomains();
	}

	/**
	 * Returns the software versions that the targets had lately.
	 * @return the history, the same object until it changes
	 */
	public SoftwareHistory softwareHistory() {
		return this.software;
	}

	/**
	 * Returns the processes that may have acted as leader lately.
	 * @return the holders, the same object until they change
	 */
	public DutyHolders dutyHolders() {
		return this.dutyHolders;
	}

	/**
	 * Returns the stored form of the state.
	 * @return the stored form
	 */
	public Image image() {
		return new Image(this.appliedIndex, this.records.revision(), this.records.records(), this.history.images(),
				this.intents.images(), this.steps.images(), this.usage.image(), this.crashes.image(),
				List.copyOf(this.orders.values()), new TreeMap<>(this.weights), List.copyOf(this.draining),
				this.table.image(), this.jobs.images(), List.copyOf(this.retiring),
				List.copyOf(this.left.byKey().values()), this.evacuations.images(), this.software.sightings(),
				this.dutyHolders.names(), this.jobs.earlyEnds().image());
	}

	/**
	 * Returns the heap that the state takes and is expected to take.
	 * @return the size
	 */
	public StateSize size() {
		return new StateSize(this.jobs.size(), this.table.heapBytes());
	}

	/**
	 * Returns the jobs of all customers.
	 * @return the ledger, which only this state may change
	 */
	public JobLedger jobs() {
		return this.jobs;
	}

	/**
	 * Returns the control processes that are retiring or have retired.
	 * @return their member names
	 */
	public Set<String> retiringMembers() {
		return Set.copyOf(this.retiring);
	}

	/**
	 * Returns the current routing table.
	 * @return the table and its document, or null if none was accepted yet
	 */
	public CurrentRoutingTable.@Nullable Image routingTable() {
		return this.table.image();
	}

	/**
	 * Returns the newest weight version of a model.
	 * @param model the model
	 * @return the weight version, 0 if none was announced
	 */
	public long newestWeightVersion(String model) {
		return this.weights.getOrDefault(model, 0L);
	}

	/**
	 * Returns the desired number of targets of each pool.
	 * @return the newest order of each pool
	 */
	public Collection<TargetOrder> targetOrders() {
		return List.copyOf(this.orders.values());
	}

	/**
	 * Returns the configuration records.
	 * @return the table, which only this state may change
	 */
	public RecordTable records() {
		return this.records;
	}

	/**
	 * Returns the training steps of all customers.
	 * @return the ledger, which only this state may change
	 */
	public StepLedger steps() {
		return this.steps;
	}

	/**
	 * Returns the usage of all customers.
	 * @return the ledger, which only this state may change
	 */
	public UsageLedger usage() {
		return this.usage;
	}

	/**
	 * Returns the newest weight version of each model.
	 * @return the weight versions by model
	 */
	public Map<String, Long> newestWeightVersions() {
		return Map.copyOf(this.weights);
	}

	/**
	 * The stored form of the state.
	 *
	 * @param appliedIndex the log index of the last applied command
	 * @param recordRevision the log index of the last change to a record
	 * @param records the configuration records
	 * @param answered the operator requests with their first replies
	 * @param intents the at-most-once requests
	 * @param steps the training steps
	 * @param usage the usage of all customers
	 * @param crashes the suspect and quarantined requests
	 * @param orders the newest order of each pool
	 * @param weights the newest weight version of each model
	 * @param draining the ids of draining targets, oldest first
	 * @param table the routing table, or null if none was accepted yet
	 * @param jobs the jobs, oldest first
	 * @param retiring the member names of control processes that are retiring or have
	 * retired
	 * @param left the targets that left lately, oldest first
	 * @param evacuations the last evacuation order of each failure domain
	 * @param software the software versions that the targets had lately
	 * @param dutyHolders the processes that may have acted as leader lately, the present
	 * holder last
	 * @param earlyEnds the ends of jobs that were not known when they ended
	 */
	public record Image(long appliedIndex, long recordRevision, List<ConfigurationRecord> records,
			List<RequestHistory.AnsweredRequest> answered, List<IntentTable.Intent> intents, List<Step.Image> steps,
			UsageLedger.Image usage, CrashTable.Image crashes, List<TargetOrder> orders, Map<String, Long> weights,
			List<String> draining, CurrentRoutingTable.@Nullable Image table, List<Job.Image> jobs,
			List<String> retiring, List<LeftTarget> left, List<EvacuationOrder> evacuations,
			List<SoftwareSighting> software, List<String> dutyHolders, EarlyEnds.Image earlyEnds) {

		/**
		 * Accepts an image without jobs, retiring members, targets that left,
		 * evacuations, software versions, duty holders or early ends, as earlier versions
		 * stored it.
		 */
		public Image {
			jobs = Objects.requireNonNullElse(jobs, List.of());
			retiring = Objects.requireNonNullElse(retiring, List.of());
			left = Objects.requireNonNullElse(left, List.of());
			evacuations = Objects.requireNonNullElse(evacuations, List.of());
			software = Objects.requireNonNullElse(software, List.of());
			dutyHolders = Objects.requireNonNullElse(dutyHolders, List.of());
			earlyEnds = Objects.requireNonNullElse(earlyEnds, EarlyEnds.Image.NONE);
		}

	}

}

package org.zinniatack.core.consensus;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Raft replica with pre-votes, leader leases and leadership transfer. It holds the role
 * and its transitions; the log is in {@link ReplicaLog}, replication to followers in
 * {@link Replication}.
 */
final class RaftReplica implements Replica {

	private enum Role {

		FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER

	}

	/**
	 * A heartbeat queued behind an entry of this size still passes a slow link in time.
	 */
	static final int MAX_ENTRY_BYTES = 256 * 1024;

	private final ReplicaSettings settings;

	private final RandomGenerator random;

	private final ReplicaLog log;

	private final Set<String> votes = new HashSet<>();

	private final List<ConsensusMessage> messages = new ArrayList<>();

	private final SnapshotReceipt snapshotReceipt = new SnapshotReceipt();

	private Role role = Role.FOLLOWER;

	private HardState hardState;

	private boolean hardStateChanged;

	private String leaderId = "";

	private long lastLeaderContactMs;

	private long electionDeadlineMs;

	/**
	 * The shortest time from one election to the next. It starts below the election
	 * timeout, since replicas that restart together have no leader to wait for, and grows
	 * to it while elections fail.
	 */
	private long electionDelayMs;

	private long nextHeartbeatMs;

	private long leadingSinceMs;

	/**
	 * The commit index of a heartbeat interval ago, which a learner must have reached.
	 */
	private long caughtUpIndex = Long.MAX_VALUE;

	private long nextCaughtUpIndexMs;

	private long currentAsOfMs = Progress.NEVER_MS;

	private Replication replication;

	private boolean commitBroadcastPending;

	RaftReplica(ReplicaSettings settings, PersistentState state, RandomGenerator random, long idleSinceMs, long nowMs) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.random = Objects.requireNonNull(random, "random");
		this.hardState = state.hardState();
		this.log = new ReplicaLog(state);
		this.replication = Replication.none();
		// The last leader contact is lost on a restart, but cannot be later than this.
		// It withholds votes while a lease that this replica has confirmed may be valid.
		this.lastLeaderContactMs = idleSinceMs;
		this.electionDelayMs = settings.heartbeatIntervalMs();
		resetElectionDeadline(Math.max(idleSinceMs + settings.electionTimeoutMs(), nowMs) - this.electionDelayMs);
	}

	@Override
	public void tick(long nowMs) {
		if (this.role == Role.LEADER) {
			tickLeader(nowMs);
		}
		else if (nowMs >= this.electionDeadlineMs && isVoter()) {
			startElection(Role.PRE_CANDIDATE, false, nowMs);
		}
	}

	private void tickLeader(long nowMs) {
		if (nowMs >= this.nextCaughtUpIndexMs && this.replication.isNoopCommitted(commitIndex())) {
			this.nextCaughtUpIndexMs = nowMs + this.settings.heartbeatIntervalMs();
			this.caughtUpIndex = commitIndex();
		}
		if (!hasQuorumContact(nowMs)) {
			becomeFollower(term(), "", nowMs);
		}
		else if (nowMs >= this.nextHeartbeatMs || this.commitBroadcastPending) {
			this.commitBroadcastPending = false;
			this.nextHeartbeatMs = nowMs + this.settings.heartbeatIntervalMs();
			this.replication.sendAll(membership(), commitIndex(), true, nowMs, this.messages);
		}
	}

	@Override
	public long changeMembership(Membership changed) throws ServiceException {
		requireLeader();
		if (!this.log.isMembershipCommitted() || !this.replication.isNoopCommitted(commitIndex())) {
			throw ServiceException.retryable(ResultCode.NOT_ACCEPTED,
					"an earlier membership change or the first entry of this term is not committed yet",
					this.settings.electionTimeoutMs());
		}
		if (!changed.differsByAtMostOneVoter(membership())) {
			throw ServiceException.of(ResultCode.NOT_ACCEPTED,
					"a membership change may add or remove at most one voter");
		}
		return append(LogEntry.membership(this.log.lastIndex() + 1, term(), changed));
	}

	@Override
	public List<String> caughtUpLearners() {
		return (this.role == Role.LEADER) ? membership().learners()
			.stream()
			.filter((id) -> this.replication.matchIndex(id) >= this.caughtUpIndex)
			.toList() : List.of();
	}

	@Override
	public List<String> unresponsiveVoters(long nowMs, long limitMs) {
		if (this.role != Role.LEADER || nowMs - this.leadingSinceMs < limitMs) {
			return List.of();
		}
		return membership().voters()
			.stream()
			.filter((id) -> !id.equals(this.settings.id()))
			.filter((id) -> nowMs - this.replication.contactMs(id) > limitMs)
			.toList();
	}

	@Override
	public long commitIndex() {
		return this.log.commitIndex();
	}

	@Override
	public Snapshot compact(long index, long sizeBytes) {
		return this.log.compact(index, sizeBytes);
	}

	@Override
	public long compactedIndex() {
		return this.log.entries().snapshot().index();
	}

	@Override
	public Snapshot snapshotAt(long index) {
		return this.log.snapshotAt(index, 0);
	}

	@Override
	public long currentAsOfMs(long nowMs) {
		if (this.role != Role.LEADER) {
			return this.currentAsOfMs;
		}
		return this.replication.isNoopCommitted(commitIndex()) ? this.replication.quorumContactMs(membership(), nowMs)
				: Progress.NEVER_MS;
	}

	@Override
	public boolean holdsLease(long nowMs) {
		return this.role == Role.LEADER && this.replication.isNoopCommitted(commitIndex()) && nowMs < leaseEndMs(nowMs);
	}

	@Override
	public boolean isLeader() {
		return this.role == Role.LEADER;
	}

	@Override
	public long leaseEndMs(long nowMs) {
		return (this.role == Role.LEADER)
				? this.replication.quorumContactMs(membership(), nowMs) + this.settings.leaseDurationMs()
				: Long.MIN_VALUE;
	}

	@Override
	public Optional<String> leader() {
		return Optional.of(this.leaderId).filter((id) -> !id.isEmpty());
	}

	@Override
	public Membership membership() {
		return this.log.membership();
	}

	@Override
	public void markPersisted(long index) {
		this.log.markPersisted(index);
		advanceCommit();
	}

	@Override
	public long propose(byte[] command) throws ServiceException {
		requireLeader();
		int from = 0;
		while (command.length - from > MAX_ENTRY_BYTES) {
			append(LogEntry.part(this.log.lastIndex() + 1, term(),
					Arrays.copyOfRange(command, from, from + MAX_ENTRY_BYTES)));
			from += MAX_ENTRY_BYTES;
		}
		byte[] last = (from == 0) ? command : Arrays.copyOfRange(command, from, command.length);
		return append(LogEntry.command(this.log.lastIndex() + 1, term(), last));
	}

	private void requireLeader() throws ServiceException {
		if (this.role != Role.LEADER) {
			throw ServiceException.retryable(ResultCode.NOT_LEADER,
					"this replica does not lead; leader: " + leader().orElse("unknown"),
					this.settings.electionTimeoutMs());
		}
	}

	private long append(LogEntry entry) {
		this.log.append(entry);
		if (entry.kind() == LogEntry.Kind.MEMBERSHIP) {
			this.replication.track(membership(), this.log.lastIndex());
		}
		return entry.index();
	}

	@Override
	public void receive(ConsensusMessage message, long nowMs) {
		if (!message.to().equals(this.settings.id())) {
			return;
		}
		if (message instanceof ConsensusMessage.VoteRequest request) {
			onVoteRequest(request, nowMs);
			return;
		}
		if (message instanceof ConsensusMessage.VoteResponse response && response.preVote() && response.granted()) {
			onPreVoteGranted(response, nowMs);
			return;
		}
		if (message.term() > term()) {
			becomeFollower(message.term(), "", nowMs);
		}
		dispatch(message, nowMs);
	}

	private void dispatch(ConsensusMessage message, long nowMs) {
		if (message instanceof ConsensusMessage.AppendRequest request) {
			onAppendRequest(request, nowMs);
		}
		else if (message instanceof ConsensusMessage.SnapshotPart part) {
			onSnapshotPart(part, nowMs);
		}
		else if (message.term() < term()) {
			return;
		}
		else if (message instanceof ConsensusMessage.AppendResponse response) {
			onAppendResponse(response, nowMs);
		}
		else if (message instanceof ConsensusMessage.SnapshotPartResponse response) {
			onSnapshotPartResponse(response, nowMs);
		}
		else if (message instanceof ConsensusMessage.VoteResponse response) {
			onVoteResponse(response, nowMs);
		}
		else if (message instanceof ConsensusMessage.TransferRequest && isVoter()) {
			startElection(Role.CANDIDATE, true, nowMs);
		}
	}

	private void onVoteRequest(ConsensusMessage.VoteRequest request, long nowMs) {
		if (!request.transfer() && hasLeaderContact(nowMs)) {
			rejectVote(request);
			return;
		}
		if (request.preVote()) {
			boolean granted = request.term() > term() && isUpToDate(request);
			this.messages.add(new ConsensusMessage.VoteResponse(this.settings.id(), request.from(),
					granted ? request.term() : term(), true, granted));
			return;
		}
		if (request.term() > term()) {
			becomeFollower(request.term(), "", nowMs);
		}
		grantVote(request, nowMs);
	}

	private void grantVote(ConsensusMessage.VoteRequest request, long nowMs) {
		boolean canVote = this.hardState.votedFor().isEmpty() || this.hardState.votedFor().equals(request.from());
		if (request.term() == term() && canVote && isUpToDate(request)) {
			this.role = Role.FOLLOWER;
			setHardState(new HardState(term(), request.from()));
			resetElectionDeadline(nowMs);
			this.messages
				.add(new ConsensusMessage.VoteResponse(this.settings.id(), request.from(), term(), false, true));
		}
		else {
			rejectVote(request);
		}
	}

	private void rejectVote(ConsensusMessage.VoteRequest request) {
		this.messages.add(new ConsensusMessage.VoteResponse(this.settings.id(), request.from(), term(),
				request.preVote(), false));
	}

	private boolean hasQuorumContact(long nowMs) {
		long contactMs = Math.max(this.leadingSinceMs, this.replication.quorumContactMs(membership(), nowMs));
		return nowMs - contactMs < this.settings.electionTimeoutMs();
	}

	private boolean hasLeaderContact(long nowMs) {
		if (this.role == Role.LEADER) {
			return hasQuorumContact(nowMs);
		}
		return nowMs - this.lastLeaderContactMs < this.settings.electionTimeoutMs();
	}

	private boolean isUpToDate(ConsensusMessage.VoteRequest request) {
		return request.lastTerm() > this.log.lastTerm()
				|| (request.lastTerm() == this.log.lastTerm() && request.lastIndex() >= this.log.lastIndex());
	}

	private void onPreVoteGranted(ConsensusMessage.VoteResponse response, long nowMs) {
		if (this.role == Role.PRE_CANDIDATE && response.term() == term() + 1 && countVote(response.from())) {
			startElection(Role.CANDIDATE, false, nowMs);
		}
	}

	private void onVoteResponse(ConsensusMessage.VoteResponse response, long nowMs) {
		if (this.role == Role.CANDIDATE && !response.preVote() && response.granted() && countVote(response.from())) {
			becomeLeader(nowMs);
		}
	}

	/** Counts a vote and returns whether the votes form a quorum. */
	private boolean countVote(String voter) {
		if (membership().voters().contains(voter)) {
			this.votes.add(voter);
		}
		return this.votes.size() >= membership().quorum();
	}

	private void startElection(Role newRole, boolean transfer, long nowMs) {
		this.role = newRole;
		this.leaderId = "";
		this.votes.clear();
		this.electionDelayMs = Math.min(2 * this.electionDelayMs, this.settings.electionTimeoutMs());
		resetElectionDeadline(nowMs);
		long electionTerm = term() + 1;
		if (newRole == Role.CANDIDATE) {
			setHardState(new HardState(electionTerm, this.settings.id()));
		}
		requestVotes(electionTerm, newRole == Role.PRE_CANDIDATE, transfer);
		if (countVote(this.settings.id())) {
			if (newRole == Role.PRE_CANDIDATE) {
				startElection(Role.CANDIDATE, transfer, nowMs);
			}
			else {
				becomeLeader(nowMs);
			}
		}
	}

	private void requestVotes(long electionTerm, boolean preVote, boolean transfer) {
		for (String voter : membership().voters()) {
			if (!voter.equals(this.settings.id())) {
				this.messages.add(new ConsensusMessage.VoteRequest(this.settings.id(), voter, electionTerm,
						this.log.lastIndex(), this.log.lastTerm(), preVote, transfer));
			}
		}
	}

	private void becomeLeader(long nowMs) {
		this.role = Role.LEADER;
		this.electionDelayMs = this.settings.electionTimeoutMs();
		this.leaderId = this.settings.id();
		this.leadingSinceMs = nowMs;
		this.caughtUpIndex = Long.MAX_VALUE;
		this.nextCaughtUpIndexMs = nowMs;
		this.nextHeartbeatMs = nowMs;
		LogEntry noopEntry = LogEntry.noop(this.log.lastIndex() + 1, term());
		this.replication = new Replication(this.settings, this.log.entries(), term(), noopEntry.index());
		this.replication.track(membership(), this.log.lastIndex());
		append(noopEntry);
	}

	private void becomeFollower(long newTerm, String leader, long nowMs) {
		if (newTerm > term()) {
			setHardState(new HardState(newTerm, ""));
		}
		if (this.role == Role.LEADER) {
			resetElectionDeadline(nowMs);
		}
		this.role = Role.FOLLOWER;
		this.leaderId = leader;
		this.replication = Replication.none();
	}

	private boolean followLeader(ConsensusMessage message, long nowMs) {
		if (message.term() < term()) {
			return false;
		}
		becomeFollower(message.term(), message.from(), nowMs);
		this.lastLeaderContactMs = nowMs;
		this.electionDelayMs = this.settings.electionTimeoutMs();
		resetElectionDeadline(nowMs);
		return true;
	}

	private void onAppendRequest(ConsensusMessage.AppendRequest request, long nowMs) {
		if (!followLeader(request, nowMs)) {
			respond(request.from(), false, 0, 0, request.sentAtMs());
			return;
		}
		long mismatch = this.log.findMismatch(request);
		if (mismatch >= 0) {
			respond(request.from(), false, mismatch, request.previousIndex(), request.sentAtMs());
			return;
		}
		request.entries().forEach(this.log::store);
		long matchIndex = request.previousIndex() + request.entries().size();
		commitTo(Math.min(request.commitIndex(), matchIndex));
		if (request.commitIndex() <= matchIndex) {
			this.currentAsOfMs = nowMs;
		}
		respond(request.from(), true, matchIndex, 0, request.sentAtMs());
	}

	private void onSnapshotPart(ConsensusMessage.SnapshotPart part, long nowMs) {
		if (!followLeader(part, nowMs)) {
			respond(part.from(), false, 0, 0, part.sentAtMs());
			return;
		}
		Snapshot snapshot = part.snapshot();
		boolean whole = snapshot.index() <= commitIndex() || this.snapshotReceipt.add(part);
		if (whole) {
			this.log.receive(snapshot);
			respond(part.from(), true, snapshot.index(), 0, part.sentAtMs());
		}
		else {
			this.messages.add(new ConsensusMessage.SnapshotPartResponse(this.settings.id(), part.from(), term(),
					snapshot.index(), this.snapshotReceipt.receivedBytes(), part.sentAtMs()));
		}
	}

	private void onSnapshotPartResponse(ConsensusMessage.SnapshotPartResponse response, long nowMs) {
		if (this.role == Role.LEADER && this.replication.onResponse(response, nowMs)) {
			this.replication.sendTo(response.from(), commitIndex(), false, nowMs, this.messages);
		}
	}

	private void onAppendResponse(ConsensusMessage.AppendResponse response, long nowMs) {
		if (this.role != Role.LEADER) {
			return;
		}
		boolean sendNow = this.replication.onResponse(response, nowMs);
		advanceCommit();
		if (sendNow) {
			this.replication.sendTo(response.from(), commitIndex(), false, nowMs, this.messages);
		}
	}

	private void advanceCommit() {
		if (this.role != Role.LEADER) {
			return;
		}
		long quorumIndex = this.replication.majorityIndex(membership(), this.log.persistedIndex());
		if (quorumIndex > commitIndex() && this.log.termAt(quorumIndex) == term()) {
			commitTo(quorumIndex);
		}
	}

	private void commitTo(long index) {
		boolean advanced = this.log.commitTo(index);
		this.commitBroadcastPending = this.role == Role.LEADER && advanced;
		boolean removedAsVoter = this.role == Role.LEADER && this.log.isMembershipCommitted() && !isVoter();
		if (removedAsVoter) {
			this.role = Role.FOLLOWER;
			this.leaderId = "";
			this.replication = Replication.none();
		}
	}

	private void respond(String to, boolean success, long matchIndex, long rejectedIndex, long sentAtMs) {
		this.messages.add(new ConsensusMessage.AppendResponse(this.settings.id(), to, term(), success, matchIndex,
				rejectedIndex, sentAtMs));
	}

	@Override
	public Effects takeEffects(long nowMs) {
		if (this.role == Role.LEADER) {
			this.replication.sendAll(membership(), commitIndex(), false, nowMs, this.messages);
		}
		Effects effects = this.log.takeEffects(this.hardStateChanged ? this.hardState : null,
				List.copyOf(this.messages), this.snapshotReceipt.takeParts());
		this.hardStateChanged = false;
		this.messages.clear();
		return effects;
	}

	@Override
	public long term() {
		return this.hardState.term();
	}

	@Override
	public boolean transferLeadership(Predicate<String> isPreferred, long nowMs) {
		if (this.role != Role.LEADER) {
			return false;
		}
		Optional<String> target = this.replication.mostAdvanced(membership(), isPreferred);
		target
			.ifPresent((id) -> this.messages.add(new ConsensusMessage.TransferRequest(this.settings.id(), id, term())));
		becomeFollower(term(), "", nowMs);
		return target.isPresent();
	}

	private boolean isVoter() {
		return membership().voters().contains(this.settings.id());
	}

	private void setHardState(HardState changed) {
		this.hardState = changed;
		this.hardStateChanged = true;
	}

	private void resetElectionDeadline(long nowMs) {
		this.electionDeadlineMs = nowMs + this.electionDelayMs + this.random.nextLong(this.electionDelayMs);
	}

}

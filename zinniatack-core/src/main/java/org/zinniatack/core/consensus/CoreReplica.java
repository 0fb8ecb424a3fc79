package org.zinniatack.core.consensus;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * The roles of a replica and the passage between them. What a leader does for its
 * followers is in {@link Replication}.
 */
final class CoreReplica implements Replica {

	private enum Role {

		FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER

	}

	private final ReplicaSettings settings;

	private final RandomGenerator random;

	private final MemoryLog log;

	private final Set<String> votes = new HashSet<>();

	private final List<ConsensusMessage> messages = new ArrayList<>();

	private Role role = Role.FOLLOWER;

	private HardState hardState;

	private boolean hardStateChanged;

	private Membership membership;

	private long membershipIndex;

	private String leaderId = "";

	private long lastLeaderContactMs;

	private long electionDeadlineMs;

	private long nextHeartbeatMs;

	private long leadingSinceMs;

	private long currentAsOfMs = Progress.NEVER_MS;

	private Replication replication;

	private boolean commitToAnnounce;

	private long commitIndex;

	private long appliedIndex;

	private long writtenIndex;

	private long persistedIndex;

	private long truncateFrom;

	private boolean snapshotReceived;

	CoreReplica(ReplicaSettings settings, PersistentState state, RandomGenerator random, long nowMs) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.random = Objects.requireNonNull(random, "random");
		this.hardState = state.hardState();
		this.log = new MemoryLog(state.snapshot(), state.entries());
		this.commitIndex = state.snapshot().index();
		this.appliedIndex = this.commitIndex;
		this.writtenIndex = this.log.lastIndex();
		this.persistedIndex = this.writtenIndex;
		this.membership = Membership.empty();
		this.replication = Replication.none();
		// A restarted voter has forgotten when it last answered a leader, so it waits.
		this.lastLeaderContactMs = nowMs;
		refreshMembership();
		resetElectionDeadline(nowMs);
	}

	@Override
	public void advance(long nowMs) {
		if (this.role == Role.LEADER) {
			advanceLeader(nowMs);
		}
		else if (nowMs >= this.electionDeadlineMs && isVoter()) {
			startElection(Role.PRE_CANDIDATE, false, nowMs);
		}
	}

	private void advanceLeader(long nowMs) {
		if (!hearsQuorum(nowMs)) {
			becomeFollower(term(), "", nowMs);
		}
		else if (nowMs >= this.nextHeartbeatMs || this.commitToAnnounce) {
			this.commitToAnnounce = false;
			this.nextHeartbeatMs = nowMs + this.settings.heartbeatIntervalMs();
			this.replication.sendAll(this.membership, this.commitIndex, true, nowMs, this.messages);
		}
	}

	@Override
	public long changeMembership(Membership changed) throws ServiceException {
		requireLeader();
		if (this.membershipIndex > this.commitIndex || !this.replication.isOpen(this.commitIndex)) {
			throw ServiceException.retryable(ResultCode.NOT_ACCEPTED, "a membership change is under way",
					this.settings.electionTimeoutMs());
		}
		if (!changed.isOneVoterFrom(this.membership)) {
			throw ServiceException.of(ResultCode.NOT_ACCEPTED, "more than one voter changes at once");
		}
		return append(LogEntry.membership(this.log.lastIndex() + 1, term(), changed));
	}

	@Override
	public List<String> caughtUpLearners() {
		return (this.role == Role.LEADER) ? this.membership.learners()
			.stream()
			.filter((id) -> this.replication.matchIndex(id) >= this.commitIndex)
			.toList() : List.of();
	}

	@Override
	public long commitIndex() {
		return this.commitIndex;
	}

	@Override
	public Snapshot compact(long index, byte[] state) {
		if (index > this.appliedIndex || index <= this.log.snapshot().index()) {
			throw new IllegalArgumentException("index must be applied and not yet compacted");
		}
		Snapshot snapshot = snapshotAt(index, state);
		this.log.compact(snapshot);
		return snapshot;
	}

	@Override
	public Snapshot snapshotAt(long index, byte[] state) {
		return new Snapshot(index, this.log.termAt(index), this.log.membershipAt(index), state);
	}

	@Override
	public long currentAsOfMs(long nowMs) {
		if (this.role != Role.LEADER) {
			return this.currentAsOfMs;
		}
		return this.replication.isOpen(this.commitIndex) ? this.replication.quorumContactMs(this.membership, nowMs)
				: Progress.NEVER_MS;
	}

	@Override
	public List<LogEntry> entriesAfter(long index) {
		return this.log.slice(index + 1, (int) (this.writtenIndex - index));
	}

	@Override
	public boolean holdsLease(long nowMs) {
		return this.role == Role.LEADER && this.replication.isOpen(this.commitIndex) && nowMs < leaseEndMs(nowMs);
	}

	@Override
	public boolean isLeader() {
		return this.role == Role.LEADER;
	}

	@Override
	public long leaseEndMs(long nowMs) {
		return (this.role == Role.LEADER)
				? this.replication.quorumContactMs(this.membership, nowMs) + this.settings.leaseDurationMs()
				: Long.MIN_VALUE;
	}

	@Override
	public Optional<String> leader() {
		return Optional.of(this.leaderId).filter((id) -> !id.isEmpty());
	}

	@Override
	public Membership membership() {
		return this.membership;
	}

	@Override
	public void persisted(long index) {
		this.persistedIndex = Math.max(this.persistedIndex, Math.min(index, this.log.lastIndex()));
		advanceCommit();
	}

	@Override
	public long propose(byte[] command) throws ServiceException {
		requireLeader();
		return append(LogEntry.command(this.log.lastIndex() + 1, term(), command));
	}

	private void requireLeader() throws ServiceException {
		if (this.role != Role.LEADER) {
			throw ServiceException.retryable(ResultCode.NOT_LEADER, "leader is " + leader().orElse("unknown"),
					this.settings.electionTimeoutMs());
		}
	}

	private long append(LogEntry entry) {
		this.log.append(entry);
		if (entry.kind() == LogEntry.Kind.MEMBERSHIP) {
			adopt(entry.membership(), entry.index());
			this.replication.track(this.membership, this.log.lastIndex());
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
		else if (message instanceof ConsensusMessage.SnapshotRequest request) {
			onSnapshotRequest(request, nowMs);
		}
		else if (message.term() < term()) {
			return;
		}
		else if (message instanceof ConsensusMessage.AppendResponse response) {
			onAppendResponse(response, nowMs);
		}
		else if (message instanceof ConsensusMessage.VoteResponse response) {
			onVoteResponse(response, nowMs);
		}
		else if (message instanceof ConsensusMessage.TransferRequest && isVoter()) {
			startElection(Role.CANDIDATE, true, nowMs);
		}
	}

	private void onVoteRequest(ConsensusMessage.VoteRequest request, long nowMs) {
		if (!request.transfer() && hearsLeader(nowMs)) {
			refuseVote(request);
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
		boolean free = this.hardState.votedFor().isEmpty() || this.hardState.votedFor().equals(request.from());
		if (request.term() == term() && free && isUpToDate(request)) {
			this.role = Role.FOLLOWER;
			setHardState(new HardState(term(), request.from()));
			resetElectionDeadline(nowMs);
			this.messages
				.add(new ConsensusMessage.VoteResponse(this.settings.id(), request.from(), term(), false, true));
		}
		else {
			refuseVote(request);
		}
	}

	private void refuseVote(ConsensusMessage.VoteRequest request) {
		this.messages.add(new ConsensusMessage.VoteResponse(this.settings.id(), request.from(), term(),
				request.preVote(), false));
	}

	private boolean hearsQuorum(long nowMs) {
		long contactMs = Math.max(this.leadingSinceMs, this.replication.quorumContactMs(this.membership, nowMs));
		return nowMs - contactMs < this.settings.electionTimeoutMs();
	}

	private boolean hearsLeader(long nowMs) {
		if (this.role == Role.LEADER) {
			return hearsQuorum(nowMs);
		}
		return nowMs - this.lastLeaderContactMs < this.settings.electionTimeoutMs();
	}

	private boolean isUpToDate(ConsensusMessage.VoteRequest request) {
		return request.lastTerm() > this.log.lastTerm()
				|| (request.lastTerm() == this.log.lastTerm() && request.lastIndex() >= this.log.lastIndex());
	}

	private void onPreVoteGranted(ConsensusMessage.VoteResponse response, long nowMs) {
		if (this.role == Role.PRE_CANDIDATE && response.term() == term() + 1 && wins(response.from())) {
			startElection(Role.CANDIDATE, false, nowMs);
		}
	}

	private void onVoteResponse(ConsensusMessage.VoteResponse response, long nowMs) {
		if (this.role == Role.CANDIDATE && !response.preVote() && response.granted() && wins(response.from())) {
			becomeLeader(nowMs);
		}
	}

	private boolean wins(String voter) {
		if (this.membership.voters().contains(voter)) {
			this.votes.add(voter);
		}
		return this.votes.size() >= this.membership.quorum();
	}

	private void startElection(Role next, boolean transfer, long nowMs) {
		this.role = next;
		this.leaderId = "";
		this.votes.clear();
		resetElectionDeadline(nowMs);
		long wanted = term() + 1;
		if (next == Role.CANDIDATE) {
			setHardState(new HardState(wanted, this.settings.id()));
		}
		requestVotes(wanted, next == Role.PRE_CANDIDATE, transfer);
		if (wins(this.settings.id())) {
			if (next == Role.PRE_CANDIDATE) {
				startElection(Role.CANDIDATE, transfer, nowMs);
			}
			else {
				becomeLeader(nowMs);
			}
		}
	}

	private void requestVotes(long wanted, boolean preVote, boolean transfer) {
		for (String voter : this.membership.voters()) {
			if (!voter.equals(this.settings.id())) {
				this.messages.add(new ConsensusMessage.VoteRequest(this.settings.id(), voter, wanted,
						this.log.lastIndex(), this.log.lastTerm(), preVote, transfer));
			}
		}
	}

	private void becomeLeader(long nowMs) {
		this.role = Role.LEADER;
		this.leaderId = this.settings.id();
		this.leadingSinceMs = nowMs;
		this.nextHeartbeatMs = nowMs;
		LogEntry opening = LogEntry.noop(this.log.lastIndex() + 1, term());
		this.replication = new Replication(this.settings, this.log, term(), opening.index());
		this.replication.track(this.membership, this.log.lastIndex());
		append(opening);
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
		resetElectionDeadline(nowMs);
		return true;
	}

	private void onAppendRequest(ConsensusMessage.AppendRequest request, long nowMs) {
		if (!followLeader(request, nowMs)) {
			respond(request.from(), false, 0, 0, request.sentAtMs());
			return;
		}
		if (request.previousIndex() > this.log.lastIndex()) {
			respond(request.from(), false, this.log.lastIndex(), request.previousIndex(), request.sentAtMs());
			return;
		}
		if (request.previousIndex() >= this.log.snapshot().index()
				&& this.log.termAt(request.previousIndex()) != request.previousTerm()) {
			respond(request.from(), false, lastIndexBeforeTermAt(request.previousIndex()), request.previousIndex(),
					request.sentAtMs());
			return;
		}
		request.entries().forEach(this::store);
		long matchIndex = request.previousIndex() + request.entries().size();
		commitTo(Math.min(request.commitIndex(), matchIndex));
		if (request.commitIndex() <= matchIndex) {
			this.currentAsOfMs = nowMs;
		}
		respond(request.from(), true, matchIndex, 0, request.sentAtMs());
	}

	private long lastIndexBeforeTermAt(long index) {
		long conflicting = this.log.termAt(index);
		long at = index;
		while (at > this.commitIndex && this.log.termAt(at) == conflicting) {
			at--;
		}
		return at;
	}

	private void store(LogEntry entry) {
		if (entry.index() <= this.log.snapshot().index()) {
			return;
		}
		if (this.log.holds(entry.index())) {
			if (this.log.termAt(entry.index()) == entry.term()) {
				return;
			}
			truncate(entry.index());
		}
		this.log.append(entry);
		if (entry.kind() == LogEntry.Kind.MEMBERSHIP) {
			adopt(entry.membership(), entry.index());
		}
	}

	private void truncate(long index) {
		if (index <= this.commitIndex) {
			throw new IllegalStateException("committed entry " + index + " would be truncated");
		}
		this.log.truncateFrom(index);
		if (index <= this.writtenIndex) {
			this.truncateFrom = (this.truncateFrom == 0) ? index : Math.min(this.truncateFrom, index);
			this.writtenIndex = index - 1;
			this.persistedIndex = Math.min(this.persistedIndex, this.writtenIndex);
		}
		refreshMembership();
	}

	private void onSnapshotRequest(ConsensusMessage.SnapshotRequest request, long nowMs) {
		if (!followLeader(request, nowMs)) {
			respond(request.from(), false, 0, 0, request.sentAtMs());
			return;
		}
		Snapshot received = request.snapshot();
		if (received.index() > this.commitIndex) {
			if (this.log.termAt(received.index()) == received.term()) {
				commitTo(received.index());
			}
			else {
				install(received);
			}
		}
		respond(request.from(), true, received.index(), 0, request.sentAtMs());
	}

	private void install(Snapshot received) {
		this.log.reset(received);
		this.commitIndex = received.index();
		this.appliedIndex = received.index();
		this.writtenIndex = received.index();
		this.persistedIndex = received.index();
		this.truncateFrom = 0;
		this.snapshotReceived = true;
		refreshMembership();
	}

	private void onAppendResponse(ConsensusMessage.AppendResponse response, long nowMs) {
		if (this.role != Role.LEADER) {
			return;
		}
		boolean sendsNow = this.replication.onResponse(response);
		advanceCommit();
		if (sendsNow) {
			this.replication.sendTo(response.from(), this.commitIndex, false, nowMs, this.messages);
		}
	}

	private void advanceCommit() {
		if (this.role != Role.LEADER) {
			return;
		}
		long majority = this.replication.majorityIndex(this.membership, this.persistedIndex);
		if (majority > this.commitIndex && this.log.termAt(majority) == term()) {
			commitTo(majority);
		}
	}

	private void commitTo(long index) {
		this.commitToAnnounce = this.role == Role.LEADER && index > this.commitIndex;
		this.commitIndex = Math.max(this.commitIndex, index);
		boolean removed = this.role == Role.LEADER && this.membershipIndex <= this.commitIndex && !isVoter();
		if (removed) {
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
			this.replication.sendAll(this.membership, this.commitIndex, false, nowMs, this.messages);
		}
		List<LogEntry> entries = this.log.slice(Math.max(this.writtenIndex + 1, this.log.firstIndex()),
				Integer.MAX_VALUE);
		Effects effects = new Effects(this.hardStateChanged ? this.hardState : null,
				this.snapshotReceived ? this.log.snapshot() : null, this.truncateFrom, entries,
				List.copyOf(this.messages), takeCommitted());
		this.hardStateChanged = false;
		this.snapshotReceived = false;
		this.truncateFrom = 0;
		this.writtenIndex = this.log.lastIndex();
		this.messages.clear();
		return effects;
	}

	private List<LogEntry> takeCommitted() {
		List<LogEntry> committed = this.log.slice(this.appliedIndex + 1, (int) (this.commitIndex - this.appliedIndex));
		this.appliedIndex = this.commitIndex;
		return committed;
	}

	@Override
	public long term() {
		return this.hardState.term();
	}

	@Override
	public boolean transferLeadership(long nowMs) {
		if (this.role != Role.LEADER) {
			return false;
		}
		Optional<String> target = this.replication.mostAdvanced(this.membership);
		target
			.ifPresent((id) -> this.messages.add(new ConsensusMessage.TransferRequest(this.settings.id(), id, term())));
		becomeFollower(term(), "", nowMs);
		return target.isPresent();
	}

	private boolean isVoter() {
		return this.membership.voters().contains(this.settings.id());
	}

	private void adopt(Membership changed, long index) {
		this.membership = changed;
		this.membershipIndex = index;
	}

	private void refreshMembership() {
		adopt(this.log.membershipAt(this.log.lastIndex()), this.log.membershipIndex());
	}

	private void setHardState(HardState changed) {
		this.hardState = changed;
		this.hardStateChanged = true;
	}

	private void resetElectionDeadline(long nowMs) {
		this.electionDeadlineMs = nowMs + this.settings.electionTimeoutMs()
				+ this.random.nextLong(this.settings.electionTimeoutMs());
	}

}

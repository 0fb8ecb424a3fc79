package org.zinniatack.wire;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.config.ConfigurationRecord;
import org.zinniatack.core.consensus.ConsensusMessage;
import org.zinniatack.core.directory.Evacuations;
import org.zinniatack.core.directory.HeardTarget;
import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.job.ItemResult;
import org.zinniatack.core.job.JobCall;
import org.zinniatack.core.job.JobId;
import org.zinniatack.core.job.OwnerMatch;
import org.zinniatack.core.presence.TableChanges;
import org.zinniatack.core.presence.TableVersion;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.sample.Sample;
import org.zinniatack.core.sample.VersionSpan;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.Reply;
import org.zinniatack.core.state.Suspicion;
import org.zinniatack.core.stream.BegunStream;
import org.zinniatack.core.stream.RecordedSoftware;
import org.zinniatack.core.stream.StreamOrigin;
import org.zinniatack.core.table.RoutingTable;
import org.zinniatack.core.usage.UsageFigure;
import org.zinniatack.core.usage.UsagePart;

/**
 * The messages that processes of the system exchange. The type names and record
 * components are part of the protocol.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({ @JsonSubTypes.Type(value = Message.Hello.class, name = "h"),
		@JsonSubTypes.Type(value = Message.Challenge.class, name = "hc"),
		@JsonSubTypes.Type(value = Message.Proof.class, name = "hp"),
		@JsonSubTypes.Type(value = Message.Welcome.class, name = "hw"),
		@JsonSubTypes.Type(value = Message.Heartbeat.class, name = "b"),
		@JsonSubTypes.Type(value = Message.Failure.class, name = "f"),
		@JsonSubTypes.Type(value = Message.Cancel.class, name = "x"),
		@JsonSubTypes.Type(value = Message.Consensus.class, name = "c"),
		@JsonSubTypes.Type(value = Message.FormationProbe.class, name = "fp"),
		@JsonSubTypes.Type(value = Message.FormationState.class, name = "fs"),
		@JsonSubTypes.Type(value = Message.JoinRequest.class, name = "j"),
		@JsonSubTypes.Type(value = Message.Propose.class, name = "p"),
		@JsonSubTypes.Type(value = Message.Proposed.class, name = "pr"),
		@JsonSubTypes.Type(value = Message.ReadIndex.class, name = "ri"),
		@JsonSubTypes.Type(value = Message.ReadIndexAt.class, name = "ra"),
		@JsonSubTypes.Type(value = Message.ColdPermitRequest.class, name = "cq"),
		@JsonSubTypes.Type(value = Message.ColdPermits.class, name = "cp"),
		@JsonSubTypes.Type(value = Message.Roster.class, name = "ro"),
		@JsonSubTypes.Type(value = Message.PresenceRequest.class, name = "pq"),
		@JsonSubTypes.Type(value = Message.FetchBatch.class, name = "fb"),
		@JsonSubTypes.Type(value = Message.Batch.class, name = "ba"),
		@JsonSubTypes.Type(value = Message.EntryReport.class, name = "er"),
		@JsonSubTypes.Type(value = Message.PresenceReport.class, name = "pe"),
		@JsonSubTypes.Type(value = Message.Feed.class, name = "fe"),
		@JsonSubTypes.Type(value = Message.Announce.class, name = "a"),
		@JsonSubTypes.Type(value = Message.Load.class, name = "l"),
		@JsonSubTypes.Type(value = Message.Directory.class, name = "d"),
		@JsonSubTypes.Type(value = Message.Run.class, name = "r"),
		@JsonSubTypes.Type(value = Message.AnswerHead.class, name = "ah"),
		@JsonSubTypes.Type(value = Message.AnswerChunk.class, name = "ac"),
		@JsonSubTypes.Type(value = Message.AnswerEnd.class, name = "ae"),
		@JsonSubTypes.Type(value = Message.TargetDirective.class, name = "td"),
		@JsonSubTypes.Type(value = Message.TargetCrash.class, name = "tc"),
		@JsonSubTypes.Type(value = Message.UsageNote.class, name = "un"),
		@JsonSubTypes.Type(value = Message.UsageRelease.class, name = "ur"),
		@JsonSubTypes.Type(value = Message.HeldUsage.class, name = "hu"),
		@JsonSubTypes.Type(value = Message.Subscribe.class, name = "sb"),
		@JsonSubTypes.Type(value = Message.TableRequest.class, name = "tbr"),
		@JsonSubTypes.Type(value = Message.SystemFeed.class, name = "sf"),
		@JsonSubTypes.Type(value = Message.ReadJob.class, name = "rj"),
		@JsonSubTypes.Type(value = Message.JobPage.class, name = "jp"),
		@JsonSubTypes.Type(value = Message.ReadItem.class, name = "rb"),
		@JsonSubTypes.Type(value = Message.ItemBody.class, name = "ib"),
		@JsonSubTypes.Type(value = Message.StreamsBegun.class, name = "sg"),
		@JsonSubTypes.Type(value = Message.FindStream.class, name = "sq"),
		@JsonSubTypes.Type(value = Message.StreamFound.class, name = "so"),
		@JsonSubTypes.Type(value = Message.ReadSoftware.class, name = "rs"),
		@JsonSubTypes.Type(value = Message.SoftwareVersions.class, name = "sv") })
public sealed interface Message {

	/**
	 * Returns whether the message may take long to encode, such as a job or a table.
	 * @return false if it is small or holds only bytes that are encoded already
	 */
	default boolean mayBeLarge() {
		return this instanceof JobPage || this instanceof ItemBody || this instanceof Batch
				|| (this instanceof SystemFeed feed && feed.table() != null)
				|| (this instanceof Propose propose && (propose.command() instanceof Command.SubmitJob
						|| propose.command() instanceof Command.ReplaceTable));
	}

	/**
	 * Begins the handshake, sent by the process that opened the connection.
	 *
	 * @param protocolVersion the opener's protocol version
	 * @param role the opener's role
	 * @param nodeId the opener's id
	 * @param nonce random bytes in hexadecimal
	 */
	record Hello(int protocolVersion, String role, String nodeId, String nonce) implements Message {
	}

	/**
	 * Answers a {@link Hello}.
	 *
	 * @param nodeId the acceptor's id
	 * @param nonce random bytes in hexadecimal
	 * @param proof the acceptor's proof that it holds the cluster secret
	 */
	record Challenge(String nodeId, String nonce, String proof) implements Message {
	}

	/**
	 * Answers a {@link Challenge}.
	 *
	 * @param proof the opener's proof that it holds the cluster secret
	 */
	record Proof(String proof) implements Message {
	}

	/** Completes the handshake: the acceptor has verified the opener's proof. */
	record Welcome() implements Message {
	}

	/** Keeps an idle connection from reaching the peer's read timeout. */
	record Heartbeat() implements Message {
	}

	/**
	 * Ends an exchange with an error.
	 *
	 * @param code the result code
	 * @param detail what was wrong
	 * @param retryAfterMs the delay before a retry, in milliseconds, 0 if a retry does
	 * not help
	 */
	record Failure(ResultCode code, String detail, long retryAfterMs) implements Message {
	}

	/** Cancels an exchange; the other side stops answering. */
	record Cancel() implements Message {
	}

	/**
	 * Carries a consensus message between replicas.
	 *
	 * @param message the consensus message
	 */
	record Consensus(ConsensusMessage message) implements Message {
	}

	/**
	 * Asks a control process whether its data folder is initialized. Sent while a new
	 * control process decides whether to found a system or to join one.
	 *
	 * @param replicaId the id of the asking replica
	 */
	record FormationProbe(String replicaId) implements Message {
	}

	/**
	 * Answers a {@link FormationProbe}.
	 *
	 * @param replicaId the id of the answering replica
	 * @param formed true if its data folder is initialized
	 * @param members the members that it knows, empty unless formed
	 */
	record FormationState(String replicaId, boolean formed, List<String> members) implements Message {
	}

	/**
	 * Asks the leader to admit a replica whose data folder was empty.
	 *
	 * @param replicaId the id of the replica
	 * @param failureDomain the failure domain of the replica, null if it is unknown and
	 * from a sender of an earlier version
	 */
	record JoinRequest(String replicaId, @Nullable String failureDomain) implements Message {
	}

	/**
	 * Asks control to commit and apply a command.
	 *
	 * @param command the command
	 * @param forwarded true if a replica forwards it to the leader
	 */
	record Propose(Command command, boolean forwarded) implements Message {
	}

	/**
	 * Answers a {@link Propose} whose command was committed.
	 *
	 * @param reply the result of applying the command to the replicated state
	 */
	record Proposed(Reply reply) implements Message {
	}

	/** Asks the leader for the index that a replica must have applied before it reads. */
	record ReadIndex() implements Message {
	}

	/** Asks the leader for the state of all entries and targets. */
	record PresenceRequest() implements Message {
	}

	/**
	 * Answers a {@link ReadIndex}.
	 *
	 * @param index the log index that must be applied before the read
	 */
	record ReadIndexAt(long index) implements Message {
	}

	/**
	 * Asks the leader for permits to send requests to a target that is cold.
	 *
	 * @param targetId the id of the target
	 * @param bornMs the start time of the target, in milliseconds since the epoch
	 * @param count the number of permits
	 * @param forwarded true if a control process forwards it to the leader
	 */
	record ColdPermitRequest(String targetId, long bornMs, int count, boolean forwarded) implements Message {
	}

	/**
	 * Answers a {@link ColdPermitRequest}. The permits are valid for a time from the
	 * moment at which the requester sent the request, by its own clock.
	 *
	 * @param count the number of permits granted
	 */
	record ColdPermits(int count) implements Message {
	}

	/**
	 * Answers a {@link PresenceReport}: the leader's data for a replica and its entries.
	 *
	 * @param rosterHash the hash of the entry addresses
	 * @param entries the addresses of all entries by id, empty if the replica has them
	 * @param directives the directives for the replica's targets by target id
	 * @param knownEntries the version of the leader's copy of the replica's entries
	 * @param knownTargets the version of the leader's copy of the replica's targets
	 */
	record Roster(int rosterHash, Map<String, String> entries, Map<String, TargetDirective> directives,
			TableVersion knownEntries, TableVersion knownTargets) implements Message {
	}

	/**
	 * Asks for the samples of a training step.
	 *
	 * @param customer the customer
	 * @param step the step
	 */
	record FetchBatch(String customer, String step) implements Message {
	}

	/**
	 * Answers a {@link FetchBatch}.
	 *
	 * @param samples the samples in slot order
	 */
	record Batch(List<Sample> samples) implements Message {
	}

	/**
	 * Reports the state of an entry to control, with that of the targets whose primary
	 * entry it is. The primary is a target's first entry by rendezvous hashing.
	 *
	 * @param nodeId the id of the entry
	 * @param address the address for agents, as {@code host:port}
	 * @param revision the configuration revision in force at the entry
	 * @param crashVersion the version of the entry's list of suspects
	 * @param rosterHash the hash of the entry addresses that this entry has
	 * @param pools the load of each pool as this entry sees it
	 * @param targets the changes of the targets whose primary entry this is
	 */
	record EntryReport(String nodeId, String address, long revision, long crashVersion, int rosterHash,
			List<PoolLoad> pools, TableChanges<TargetState> targets) implements Message {
	}

	/**
	 * Reports the state of a replica's entries and their targets to the leader.
	 *
	 * @param replicaId the id of the replica
	 * @param rosterHash the hash of the entry addresses that the replica has
	 * @param pools the load of each pool, summed over the replica's entries
	 * @param entries the changes of the replica's entries
	 * @param targets the changes of the targets of these entries
	 */
	record PresenceReport(String replicaId, int rosterHash, List<PoolLoad> pools, TableChanges<EntryState> entries,
			TableChanges<TargetState> targets) implements Message {
	}

	/**
	 * The state of one entry.
	 *
	 * @param nodeId the id of the entry
	 * @param address the address for agents, as {@code host:port}
	 * @param revision the configuration revision in force at the entry
	 * @param agentCount the number of agents whose primary entry this is
	 * @param agentRevision the lowest configuration revision in force at these agents
	 */
	record EntryState(String nodeId, String address, long revision, int agentCount, long agentRevision) {
	}

	/**
	 * The load of one pool as an entry sees it.
	 *
	 * @param pool the pool
	 * @param queuedCount the number of requests queued at the entry
	 * @param runningCount the number of requests that targets run for the entry
	 */
	record PoolLoad(String pool, int queuedCount, int runningCount) {
	}

	/**
	 * The state of one target.
	 *
	 * @param targetId the id of the target
	 * @param pool the pool
	 * @param failureDomain the failure domain
	 * @param weightVersion the weight version that the engine reports, 0 for none
	 * @param leaving true if it is draining and accepts no new work
	 * @param revision the configuration revision in force at the agent, 0 in reports that
	 * carry only the lowest revision of an entry's agents
	 */
	record TargetState(String targetId, String pool, String failureDomain, long weightVersion, boolean leaving,
			long revision) {

		/**
		 * Returns this state without the configuration revision, so that a change of the
		 * configuration does not count as a change of every target.
		 * @return the state with revision 0
		 */
		public TargetState withoutRevision() {
			return new TargetState(this.targetId, this.pool, this.failureDomain, this.weightVersion, this.leaving, 0);
		}

	}

	/**
	 * Updates an entry with changes of the configuration and of other replicated state,
	 * and renews the entry's lease. An entry whose lease has expired accepts no key.
	 *
	 * @param revision the configuration revision after these records
	 * @param afterRevision the configuration revision before these records; an entry at
	 * an older one lacks changes and must not apply the records
	 * @param records the records that changed since the last feed
	 * @param epoch the newest epoch known, the fencing token of directives
	 * @param authorityAgeMs the time since the sender's state was known to be current, in
	 * milliseconds
	 * @param weights the newest weight version by model
	 * @param rosterHash the hash of the entry addresses
	 * @param entries the addresses of all entries by id, empty if the receiver has them
	 * @param crashVersion the version of the suspects and quarantined requests
	 * @param suspects the digests of requests suspected of crashing targets, empty if the
	 * receiver has them
	 * @param quarantined the digests of quarantined requests, empty if the receiver has
	 * them
	 * @param directives the directives for the entry's targets by target id
	 * @param knownTargets the version of the sender's copy of the entry's targets
	 */
	record Feed(long revision, long afterRevision, List<ConfigurationRecord> records, long epoch, long authorityAgeMs,
			Map<String, Long> weights, int rosterHash, Map<String, String> entries, long crashVersion,
			List<String> suspects, List<String> quarantined, Map<String, TargetDirective> directives,
			TableVersion knownTargets) implements Message {
	}

	/**
	 * Announces a target to an entry.
	 *
	 * @param targetId the id of the target
	 * @param incarnation an id generated at each start of the agent
	 * @param pool the pool that the target serves
	 * @param failureDomain the failure domain of the target's VM
	 * @param slotCount the number of requests that the target can run concurrently
	 */
	record Announce(String targetId, String incarnation, String pool, String failureDomain,
			int slotCount) implements Message {
	}

	/**
	 * Reports the load and condition of a target to an entry.
	 *
	 * @param runningCount the number of requests running at the target, for all entries
	 * @param weightVersion the weight version that the engine reports, 0 for none
	 * @param leaving true if the target is draining and accepts no new work
	 * @param healthy true if the target responds
	 * @param crashCount the number of crashes since the agent started
	 * @param revision the configuration revision in force at the agent
	 * @param softwareVersion the version of the target's software, null if it states none
	 */
	record Load(int runningCount, long weightVersion, boolean leaving, boolean healthy, long crashCount, long revision,
			@Nullable String softwareVersion) implements Message {

		/**
		 * Creates the report of a target that states no software version.
		 * @param runningCount the number of requests running at the target
		 * @param weightVersion the weight version that the engine reports, 0 for none
		 * @param leaving true if the target is draining and accepts no new work
		 * @param healthy true if the target responds
		 * @param crashCount the number of crashes since the agent started
		 * @param revision the configuration revision in force at the agent
		 */
		public Load(int runningCount, long weightVersion, boolean leaving, boolean healthy, long crashCount,
				long revision) {
			this(runningCount, weightVersion, leaving, healthy, crashCount, revision, null);
		}

	}

	/**
	 * Informs an agent of the current configuration revision, epoch and entries.
	 *
	 * @param revision the configuration revision
	 * @param epoch the newest epoch known
	 * @param entries the addresses of all entries by id
	 * @param usageSource the id under which the sender counts usage
	 */
	record Directory(long revision, long epoch, Map<String, String> entries, String usageSource) implements Message {
	}

	/**
	 * Asks an agent to run a request on its target.
	 *
	 * @param requestId the id of the attempt
	 * @param requestDigest the digest of customer and request
	 * @param alone true if no other request may run at the target meanwhile
	 * @param method the HTTP method
	 * @param path the path and query
	 * @param headers the headers that are forwarded to the target
	 * @param body the body
	 * @param engine true if the answer is a stream of generated tokens
	 * @param deadlineInMs the time left until the request's deadline, in milliseconds
	 */
	record Run(String requestId, String requestDigest, boolean alone, String method, String path,
			Map<String, String> headers, byte[] body, boolean engine, long deadlineInMs) implements Message {
	}

	/**
	 * Begins the answer to a {@link Run}.
	 *
	 * @param httpStatus the HTTP status of the target's response
	 * @param contentType the content type of the target's response
	 */
	record AnswerHead(int httpStatus, String contentType) implements Message {
	}

	/**
	 * Carries a part of an answer: one event of an engine or some bytes of a service.
	 *
	 * @param data the bytes
	 */
	record AnswerChunk(byte[] data) implements Message {
	}

	/**
	 * Ends a complete answer.
	 *
	 * @param finishReason the engine's finish reason, empty for a service
	 * @param spans the weight versions that the engine reported for the answer, in order
	 */
	record AnswerEnd(String finishReason, List<VersionSpan> spans) implements Message {
	}

	/**
	 * Tells the agent of a target which weights to load and whether to drain the target.
	 *
	 * @param epoch the epoch of the leader that issued the directive
	 * @param weightVersion the weight version to load, 0 for none
	 * @param leaving true if the target must drain and accept no new work
	 */
	record TargetDirective(long epoch, long weightVersion, boolean leaving) implements Message {
	}

	/**
	 * Reports a crash of a target to an entry.
	 *
	 * @param crashId the id of the crash
	 * @param requestDigests the digests of the requests that were running at the target
	 */
	record TargetCrash(String crashId, List<String> requestDigests) implements Message {
	}

	/**
	 * Deposits a usage figure with an agent, which keeps it until control has received it
	 * from the entry.
	 *
	 * @param source the id under which the entry counts usage
	 * @param sequence the number of the entry's report that will include the figure
	 * @param windowStartMs the start of the usage window, in milliseconds since the epoch
	 * @param figure the usage figure
	 */
	record UsageNote(String source, long sequence, long windowStartMs, UsageFigure figure) implements Message {
	}

	/**
	 * Tells an agent that control has received usage reports, so that it can drop the
	 * deposited figures.
	 *
	 * @param source the id under which the entry counts usage
	 * @param sequence the number of the newest report received
	 */
	record UsageRelease(String source, long sequence) implements Message {
	}

	/**
	 * Asks an entry to report to control the usage that a lost entry had deposited with
	 * an agent.
	 *
	 * @param part the part of the lost entry's report that the agent holds
	 */
	record HeldUsage(UsagePart part) implements Message {
	}

	/**
	 * Subscribes to the {@link SystemFeed} of a control process, which may have restarted
	 * and forgotten which targets have left.
	 *
	 * @param left the newest notices of targets that accept no requests any more, null if
	 * the subscriber does not tell
	 * @param silenceMsById the time since a process heard from each of them, in
	 * milliseconds, null if the subscriber does not tell
	 */
	record Subscribe(@Nullable List<TargetNotice> left, @Nullable Map<String, Long> silenceMsById) implements Message {
	}

	/**
	 * Asks a control process for its routing table if it is newer than the requester's.
	 *
	 * @param heldNumber the number of the requester's table, 0 for none
	 */
	record TableRequest(long heldNumber) implements Message {
	}

	/**
	 * Updates a subscriber of a control process.
	 *
	 * @param controlAddresses the addresses of all known control processes
	 * @param namesByAddress the operators' names of control processes by address
	 * @param tableNumber the number of the sender's routing table, 0 for none
	 * @param table the routing table if it was requested, otherwise null
	 * @param targets the newest notices of targets that changed
	 * @param heardTargetIds the ids of the heard targets, for receivers of an earlier
	 * version
	 * @param heardTargets the newest announcements of targets of which the sender learned
	 * recently, null from a sender of an earlier version
	 * @param silenceMsById for each of the notices the time since a process heard from
	 * the target, in milliseconds, null from a sender of an earlier version
	 * @param suspects the requests that may crash targets if the receiver may lack them,
	 * otherwise null
	 * @param evacuations the evacuated failure domains that the sender knows, null from a
	 * sender of an earlier version
	 * @param failureDomainsByAddress the failure domain of the sender by its address, in
	 * the first feed of a connection only, otherwise null
	 * @param software the recorded software versions if the receiver may lack them,
	 * otherwise null
	 * @param forgettableEndsIndex the log index up to which ends of jobs may be forgotten
	 * next, null from a sender of an earlier version
	 */
	record SystemFeed(List<String> controlAddresses, Map<String, String> namesByAddress, long tableNumber,
			@Nullable RoutingTable table, List<TargetNotice> targets, List<String> heardTargetIds,
			@Nullable List<HeardTarget> heardTargets, @Nullable Map<String, Long> silenceMsById,
			@Nullable Suspects suspects, @Nullable Evacuations evacuations,
			@Nullable Map<String, String> failureDomainsByAddress, @Nullable RecordedSoftware software,
			@Nullable Long forgettableEndsIndex) implements Message {

		/**
		 * Creates a feed that does not tell which ends of jobs may be forgotten, as
		 * earlier versions send it.
		 * @param controlAddresses the addresses of all known control processes
		 * @param namesByAddress the operators' names of control processes by address
		 * @param tableNumber the number of the sender's routing table, 0 for none
		 * @param table the routing table if it was requested, otherwise null
		 * @param targets the newest notices of targets that changed
		 * @param heardTargetIds the ids of the heard targets
		 * @param heardTargets the newest announcements of the heard targets, or null
		 * @param silenceMsById the time since a process heard from each target, in
		 * milliseconds, or null
		 * @param suspects the requests that may crash targets, or null
		 * @param evacuations the evacuated failure domains, or null
		 * @param failureDomainsByAddress the failure domain of the sender, or null
		 * @param software the recorded software versions, or null
		 */
		public SystemFeed(List<String> controlAddresses, Map<String, String> namesByAddress, long tableNumber,
				@Nullable RoutingTable table, List<TargetNotice> targets, List<String> heardTargetIds,
				@Nullable List<HeardTarget> heardTargets, @Nullable Map<String, Long> silenceMsById,
				@Nullable Suspects suspects, @Nullable Evacuations evacuations,
				@Nullable Map<String, String> failureDomainsByAddress, @Nullable RecordedSoftware software) {
			this(controlAddresses, namesByAddress, tableNumber, table, targets, heardTargetIds, heardTargets,
					silenceMsById, suspects, evacuations, failureDomainsByAddress, software, null);
		}

		/**
		 * Returns the time since a process heard from a target.
		 * @param targetId the id of a target whose notice the feed holds
		 * @return the time in milliseconds, 0 if the sender does not tell
		 */
		public long silenceMs(String targetId) {
			return (this.silenceMsById != null) ? this.silenceMsById.getOrDefault(targetId, 0L) : 0;
		}

		/**
		 * Returns this feed with the failure domain of its sender.
		 * @param domainsByAddress the failure domain by the sender's address
		 * @return the feed
		 */
		public SystemFeed withFailureDomains(Map<String, String> domainsByAddress) {
			return new SystemFeed(this.controlAddresses, this.namesByAddress, this.tableNumber, this.table,
					this.targets, this.heardTargetIds, this.heardTargets, this.silenceMsById, this.suspects,
					this.evacuations, domainsByAddress, this.software, this.forgettableEndsIndex);
		}

		/**
		 * Returns this feed with the recorded software versions.
		 * @param recorded the versions
		 * @return the feed
		 */
		public SystemFeed withSoftware(RecordedSoftware recorded) {
			return new SystemFeed(this.controlAddresses, this.namesByAddress, this.tableNumber, this.table,
					this.targets, this.heardTargetIds, this.heardTargets, this.silenceMsById, this.suspects,
					this.evacuations, this.failureDomainsByAddress, recorded, this.forgettableEndsIndex);
		}

	}

	/**
	 * The requests that may crash targets, as a control process knows them.
	 *
	 * @param index the log index of the last command that the process has applied
	 * @param requests the suspected and quarantined requests
	 */
	record Suspects(long index, List<Suspicion> requests) {

		/** No requests, as known before the first command. */
		public static final Suspects NONE = new Suspects(0, List.of());

	}

	/**
	 * Asks for results of a job.
	 *
	 * @param id the customer of the call, if any, and the caller's id of the job
	 * @param position the position of the first result requested
	 * @param waitMs the longest wait for a result, in milliseconds
	 * @param match the owners whose job the call may mean, null from a sender of an
	 * earlier version
	 */
	record ReadJob(JobId id, int position, long waitMs, @Nullable OwnerMatch match) implements Message {

		/**
		 * Returns what the call names the job by.
		 * @return the call
		 */
		public JobCall call() {
			return JobCall.of(this.id, this.match);
		}

	}

	/**
	 * Answers a {@link ReadJob}.
	 *
	 * @param found false if there is no such job
	 * @param itemCount the number of items of the job
	 * @param results the results from the requested position on
	 */
	record JobPage(boolean found, int itemCount, List<ItemResult> results) implements Message {
	}

	/**
	 * Asks for the body of a job's item.
	 *
	 * @param id the customer of the call, if any, and the caller's id of the job
	 * @param itemId the id of the item
	 * @param match the owners whose job the call may mean, null from a sender of an
	 * earlier version
	 */
	record ReadItem(JobId id, String itemId, @Nullable OwnerMatch match) implements Message {

		/**
		 * Returns what the call names the job by.
		 * @return the call
		 */
		public JobCall call() {
			return JobCall.of(this.id, this.match);
		}

	}

	/**
	 * Answers a {@link ReadItem}.
	 *
	 * @param body the body, or null if the job has no such pending item
	 */
	record ItemBody(byte @Nullable [] body) implements Message {
	}

	/**
	 * Tells a control process where streams began, which outlives the entry.
	 *
	 * @param streams the streams
	 */
	record StreamsBegun(List<BegunStream> streams) implements Message {
	}

	/**
	 * Asks a control process where a stream began.
	 *
	 * @param key the key of the attempt that brought its first event
	 */
	record FindStream(long key) implements Message {
	}

	/**
	 * Answers a {@link FindStream}.
	 *
	 * @param origin where the stream began, null if the process does not know
	 */
	record StreamFound(@Nullable StreamOrigin origin) implements Message {
	}

	/**
	 * Asks for the software versions that the targets of a pool had lately.
	 *
	 * @param pool the pool
	 */
	record ReadSoftware(String pool) implements Message {
	}

	/**
	 * Answers a {@link ReadSoftware}.
	 *
	 * @param versions the versions at which a stream can have begun that a caller may
	 * still take up
	 */
	record SoftwareVersions(List<String> versions) implements Message {
	}

}

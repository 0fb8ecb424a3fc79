package org.zinniatack.wire;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.config.ConfigurationRecord;
import org.zinniatack.core.consensus.ConsensusMessage;
import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.job.ItemResult;
import org.zinniatack.core.job.JobId;
import org.zinniatack.core.presence.TableChanges;
import org.zinniatack.core.presence.TableVersion;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.sample.Sample;
import org.zinniatack.core.sample.VersionSpan;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.Reply;
import org.zinniatack.core.table.RoutingTable;
import org.zinniatack.core.usage.UsageFigure;
import org.zinniatack.core.usage.UsagePart;

/**
 * A message between two processes of the system.
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
		@JsonSubTypes.Type(value = Message.ItemBody.class, name = "ib") })
public sealed interface Message {

	/**
	 * Opens a connection.
	 *
	 * @param protocolVersion the version of the protocol that the opener speaks
	 * @param role the opener's role
	 * @param nodeId the opener's id
	 * @param nonce random bytes in hexadecimal
	 */
	record Hello(int protocolVersion, String role, String nodeId, String nonce) implements Message {
	}

	/**
	 * Answers a hello.
	 *
	 * @param nodeId the acceptor's id
	 * @param nonce random bytes in hexadecimal
	 * @param proof the acceptor's proof that it holds the cluster secret
	 */
	record Challenge(String nodeId, String nonce, String proof) implements Message {
	}

	/**
	 * Answers a challenge.
	 *
	 * @param proof the opener's proof that it holds the cluster secret
	 */
	record Proof(String proof) implements Message {
	}

	/** Ends the handshake. */
	record Welcome() implements Message {
	}

	/** Keeps an idle connection from being taken for dead. */
	record Heartbeat() implements Message {
	}

	/**
	 * Ends an exchange without success.
	 *
	 * @param code the result code
	 * @param detail what was wrong
	 * @param retryAfterMs the time after which to try again, 0 if that does not help
	 */
	record Failure(ResultCode code, String detail, long retryAfterMs) implements Message {
	}

	/** Asks the other side to end the exchange. */
	record Cancel() implements Message {
	}

	/**
	 * Carries a message between replicas.
	 *
	 * @param message the message
	 */
	record Consensus(ConsensusMessage message) implements Message {
	}

	/**
	 * Asks a control process whether it holds state.
	 *
	 * @param replicaId the id of the asking replica
	 */
	record FormationProbe(String replicaId) implements Message {
	}

	/**
	 * Answers a probe.
	 *
	 * @param replicaId the id of the answering replica
	 * @param formed true if it holds state
	 * @param members the members that it knows, empty unless formed
	 */
	record FormationState(String replicaId, boolean formed, List<String> members) implements Message {
	}

	/**
	 * Asks the leader to admit a replica with an empty disk.
	 *
	 * @param replicaId the id of the replica
	 */
	record JoinRequest(String replicaId) implements Message {
	}

	/**
	 * Asks control to carry out a command.
	 *
	 * @param command the command
	 * @param forwarded true if a replica passes it on to the leader
	 */
	record Propose(Command command, boolean forwarded) implements Message {
	}

	/**
	 * Answers a proposal that was committed.
	 *
	 * @param reply the reply of the replicated state
	 */
	record Proposed(Reply reply) implements Message {
	}

	/** Asks the leader up to which index a replica must have applied before it reads. */
	record ReadIndex() implements Message {
	}

	/** Asks the leader for the state of all entries and targets. */
	record PresenceRequest() implements Message {
	}

	/**
	 * Answers a request for a read index.
	 *
	 * @param index the log index
	 */
	record ReadIndexAt(long index) implements Message {
	}

	/**
	 * What the leader tells a replica for its entries.
	 *
	 * @param rosterHash the hash of the entries
	 * @param entries the addresses of all entries by id, empty if the replica knows them
	 * @param directives the orders for the replica's targets by target id
	 * @param knownEntries how far the leader's copy of the replica's entries has come
	 * @param knownTargets how far the leader's copy of the replica's targets has come
	 */
	record Roster(int rosterHash, Map<String, String> entries, Map<String, TargetDirective> directives,
			TableVersion knownEntries, TableVersion knownTargets) implements Message {
	}

	/**
	 * Asks for the batch of a step.
	 *
	 * @param customer the customer
	 * @param step the step
	 */
	record FetchBatch(String customer, String step) implements Message {
	}

	/**
	 * Answers with the batch of a step.
	 *
	 * @param samples the samples in the order of their slots
	 */
	record Batch(List<Sample> samples) implements Message {
	}

	/**
	 * What an entry tells control about itself and the targets that it is first to hold.
	 *
	 * @param nodeId the id of the entry
	 * @param address the address for agents, as host and port
	 * @param revision the configuration revision in force at the entry
	 * @param crashVersion the version of the suspects that the entry knows
	 * @param rosterHash the hash of the entries that this entry knows
	 * @param pools the load of the pools that the entry sees
	 * @param targets what changed among the targets that count this entry as their first
	 */
	record EntryReport(String nodeId, String address, long revision, long crashVersion, int rosterHash,
			List<PoolLoad> pools, TableChanges<TargetState> targets) implements Message {
	}

	/**
	 * What a replica passes on to the leader about its entries.
	 *
	 * @param replicaId the id of the replica
	 * @param rosterHash the hash of the entries that the replica knows
	 * @param pools the load of the pools, added up over the replica's entries
	 * @param entries what changed among the replica's entries
	 * @param targets what changed among the targets of the replica's entries
	 */
	record PresenceReport(String replicaId, int rosterHash, List<PoolLoad> pools, TableChanges<EntryState> entries,
			TableChanges<TargetState> targets) implements Message {
	}

	/**
	 * The state of one entry.
	 *
	 * @param nodeId the id of the entry
	 * @param address the address for agents, as host and port
	 * @param revision the configuration revision in force at the entry
	 * @param agentCount the number of agents that count this entry as their first
	 * @param agentRevision the lowest configuration revision in force at these agents
	 */
	record EntryState(String nodeId, String address, long revision, int agentCount, long agentRevision) {
	}

	/**
	 * The load of one pool as an entry sees it.
	 *
	 * @param pool the pool
	 * @param queuedCount the requests that wait at the entry
	 * @param runningCount the requests that run for the entry
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
	 * @param leaving true if it accepts no new work
	 * @param revision the configuration revision in force at the agent, 0 where only the
	 * lowest of its entry is passed on
	 */
	record TargetState(String targetId, String pool, String failureDomain, long weightVersion, boolean leaving,
			long revision) {

		/**
		 * Returns this state without what changes at each change of the configuration.
		 * @return the state with revision 0
		 */
		public TargetState withoutRevision() {
			return new TargetState(this.targetId, this.pool, this.failureDomain, this.weightVersion, this.leaving, 0);
		}

	}

	/**
	 * What control tells an entry. An entry that has heard none for the lease honours no
	 * key.
	 *
	 * @param revision the configuration revision that the records bring the entry to
	 * @param afterRevision the configuration revision that the records follow; an entry
	 * at an older one lacks changes and must not take them over
	 * @param records the records that changed since the last feed
	 * @param epoch the newest epoch known, which fences orders
	 * @param authorityAgeMs how long ago the sender's state was known to be current
	 * @param weights the newest weight version by model
	 * @param rosterHash the hash of the entries
	 * @param entries the addresses of all entries by id, empty if the receiver knows them
	 * @param crashVersion the version of the suspects
	 * @param suspects the digests of suspects, empty if the receiver knows them
	 * @param quarantined the digests of quarantined requests, empty if the receiver knows
	 * them
	 * @param directives the orders for the entry's targets by target id
	 * @param knownTargets how far the sender's copy of the entry's targets has come
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
	 * @param incarnation an id that is new at each start of the agent
	 * @param pool the pool that the target serves
	 * @param failureDomain the failure domain of the target's VM
	 * @param slotCount the number of requests that the target runs at once
	 */
	record Announce(String targetId, String incarnation, String pool, String failureDomain,
			int slotCount) implements Message {
	}

	/**
	 * The load of a target.
	 *
	 * @param runningCount the requests that run at the target, for all entries
	 * @param weightVersion the weight version that the engine reports, 0 for none
	 * @param leaving true if the target accepts no new work
	 * @param healthy true if the target answers
	 * @param crashCount the number of crashes since the agent started
	 * @param revision the configuration revision that the agent has taken over
	 */
	record Load(int runningCount, long weightVersion, boolean leaving, boolean healthy, long crashCount,
			long revision) implements Message {
	}

	/**
	 * Tells an agent what is in force.
	 *
	 * @param revision the configuration revision
	 * @param epoch the newest epoch known
	 * @param entries the addresses of all entries by id
	 * @param usageSource the id under which the sender counts use
	 */
	record Directory(long revision, long epoch, Map<String, String> entries, String usageSource) implements Message {
	}

	/**
	 * Asks an agent to run a request on its target.
	 *
	 * @param requestId the id of the attempt
	 * @param requestDigest the digest of customer and request
	 * @param alone true if nothing else may run at the target
	 * @param method the HTTP method
	 * @param path the path and query
	 * @param headers the headers that targets may see
	 * @param body the body
	 * @param engine true if the answer is a stream of generated tokens
	 * @param deadlineInMs the time that is left for the request, in milliseconds
	 */
	record Run(String requestId, String requestDigest, boolean alone, String method, String path,
			Map<String, String> headers, byte[] body, boolean engine, long deadlineInMs) implements Message {
	}

	/**
	 * Begins an answer.
	 *
	 * @param httpStatus the target's status
	 * @param contentType the target's content type
	 */
	record AnswerHead(int httpStatus, String contentType) implements Message {
	}

	/**
	 * A part of an answer: one event of an engine, or bytes of a service.
	 *
	 * @param data the part
	 */
	record AnswerChunk(byte[] data) implements Message {
	}

	/**
	 * Ends an answer that is whole.
	 *
	 * @param finishReason why the engine stopped, empty for a service
	 * @param spans the weight versions that the engine stated, in order
	 */
	record AnswerEnd(String finishReason, List<VersionSpan> spans) implements Message {
	}

	/**
	 * An order of control to the agent of a target.
	 *
	 * @param epoch the epoch of the leader that gave the order
	 * @param weightVersion the weight version to load, 0 for none
	 * @param leaving true if the target must accept no new work
	 */
	record TargetDirective(long epoch, long weightVersion, boolean leaving) implements Message {
	}

	/**
	 * Tells an entry that a target crashed.
	 *
	 * @param crashId the id of the crash
	 * @param requestDigests the digests of the requests that were running
	 */
	record TargetCrash(String crashId, List<String> requestDigests) implements Message {
	}

	/**
	 * Leaves a use with an agent until control has it.
	 *
	 * @param source the id under which the entry counts use
	 * @param sequence the number of the entry's report that will count it
	 * @param windowStartMs the start of the window, in milliseconds since the epoch
	 * @param figure the use
	 */
	record UsageNote(String source, long sequence, long windowStartMs, UsageFigure figure) implements Message {
	}

	/**
	 * Tells an agent that control has reports of use.
	 *
	 * @param source the id under which the entry counts use
	 * @param sequence the number of the newest of these reports
	 */
	record UsageRelease(String source, long sequence) implements Message {
	}

	/**
	 * Asks an entry to bring before control the use that a lost entry left with an agent.
	 *
	 * @param part what the agent holds of a report
	 */
	record HeldUsage(UsagePart part) implements Message {
	}

	/** Asks a control process for all changes of what it knows. */
	record Subscribe() implements Message {
	}

	/**
	 * Asks a control process for the routing table if it holds a newer one.
	 *
	 * @param heldNumber the number of the table that the asker holds, 0 for none
	 */
	record TableRequest(long heldNumber) implements Message {
	}

	/**
	 * What a control process knows that its subscriber may not.
	 *
	 * @param controlAddresses the addresses of all control processes that are known
	 * @param namesByAddress the names that operators use for control processes
	 * @param tableNumber the number of its routing table, 0 for none
	 * @param table the routing table where it was asked for, or null
	 * @param targets the notices of targets that changed
	 * @param heardTargetIds the targets from which something was heard lately
	 */
	record SystemFeed(List<String> controlAddresses, Map<String, String> namesByAddress, long tableNumber,
			@Nullable RoutingTable table, List<TargetNotice> targets, List<String> heardTargetIds) implements Message {
	}

	/**
	 * Asks for results of a job.
	 *
	 * @param id the job
	 * @param position the first position wanted
	 * @param waitMs how long to wait for a result, in milliseconds
	 */
	record ReadJob(JobId id, int position, long waitMs) implements Message {
	}

	/**
	 * Answers with results of a job.
	 *
	 * @param found false if there is no such job
	 * @param itemCount the number of items of the job
	 * @param results the results from the position on
	 */
	record JobPage(boolean found, int itemCount, List<ItemResult> results) implements Message {
	}

	/**
	 * Asks for the body of an item.
	 *
	 * @param id the job
	 * @param itemId the item
	 */
	record ReadItem(JobId id, String itemId) implements Message {
	}

	/**
	 * Answers with the body of an item.
	 *
	 * @param body the body, or null if there is no such item that still waits
	 */
	record ItemBody(byte @Nullable [] body) implements Message {
	}

}

package org.zinniatack.core.state;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.config.RecordKind;
import org.zinniatack.core.directory.LeftTarget;
import org.zinniatack.core.duty.DutyClaim;
import org.zinniatack.core.job.ItemProgress;
import org.zinniatack.core.job.ItemResult;
import org.zinniatack.core.job.JobCall;
import org.zinniatack.core.job.JobId;
import org.zinniatack.core.job.JobSubmission;
import org.zinniatack.core.job.OwnerMatch;
import org.zinniatack.core.sample.Sample;
import org.zinniatack.core.stream.SoftwareSighting;
import org.zinniatack.core.table.RoutingTable;
import org.zinniatack.core.usage.UsageFigure;
import org.zinniatack.core.usage.UsagePart;

/**
 * A change to the replicated state, written to the log and applied on every replica.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({ @JsonSubTypes.Type(value = Command.PutRecord.class, name = "put"),
		@JsonSubTypes.Type(value = Command.WithdrawRecord.class, name = "withdraw"),
		@JsonSubTypes.Type(value = Command.BeginIntent.class, name = "begin"),
		@JsonSubTypes.Type(value = Command.FinishIntent.class, name = "finish"),
		@JsonSubTypes.Type(value = Command.OpenStep.class, name = "open"),
		@JsonSubTypes.Type(value = Command.FillSlots.class, name = "fill"),
		@JsonSubTypes.Type(value = Command.CommitStep.class, name = "commit"),
		@JsonSubTypes.Type(value = Command.ReleaseStep.class, name = "release"),
		@JsonSubTypes.Type(value = Command.RecordUsage.class, name = "usage"),
		@JsonSubTypes.Type(value = Command.RecordUsagePart.class, name = "part"),
		@JsonSubTypes.Type(value = Command.CloseWindow.class, name = "close"),
		@JsonSubTypes.Type(value = Command.AcknowledgeWindow.class, name = "ack"),
		@JsonSubTypes.Type(value = Command.OrderTargets.class, name = "order"),
		@JsonSubTypes.Type(value = Command.AnnounceWeights.class, name = "weights"),
		@JsonSubTypes.Type(value = Command.ReportCrash.class, name = "crash"),
		@JsonSubTypes.Type(value = Command.ClearSuspect.class, name = "clear"),
		@JsonSubTypes.Type(value = Command.LiftQuarantine.class, name = "lift"),
		@JsonSubTypes.Type(value = Command.DrainTarget.class, name = "drain"),
		@JsonSubTypes.Type(value = Command.ReplaceTable.class, name = "table"),
		@JsonSubTypes.Type(value = Command.SubmitJob.class, name = "job"),
		@JsonSubTypes.Type(value = Command.FinishItems.class, name = "items"),
		@JsonSubTypes.Type(value = Command.RecordProgress.class, name = "progress"),
		@JsonSubTypes.Type(value = Command.EndJob.class, name = "end"),
		@JsonSubTypes.Type(value = Command.RemoveJobs.class, name = "forget"),
		@JsonSubTypes.Type(value = Command.RetireMember.class, name = "retire"),
		@JsonSubTypes.Type(value = Command.EvacuateDomain.class, name = "evacuate") })
public sealed interface Command {

	/**
	 * Creates or replaces a configuration record.
	 *
	 * @param requestId the operator's id of the request, unchanged when it is resent
	 * @param kind the kind of the record
	 * @param name the name of the record
	 * @param schemaVersion the schema version of the document
	 * @param document the JSON document
	 * @param expectedRevision the revision that the record must have, 0 if it must not
	 * exist
	 */
	record PutRecord(String requestId, RecordKind kind, String name, int schemaVersion, String document,
			long expectedRevision) implements Command {
	}

	/**
	 * Withdraws a configuration record.
	 *
	 * @param requestId the operator's id of the request, unchanged when it is resent
	 * @param kind the kind of the record
	 * @param name the name of the record
	 * @param expectedRevision the revision that the record must have
	 */
	record WithdrawRecord(String requestId, RecordKind kind, String name, long expectedRevision) implements Command {
	}

	/**
	 * Registers an attempt of a request that must run at most once, before it is
	 * dispatched.
	 *
	 * @param customer the name of the customer
	 * @param idempotencyKey the caller's idempotency key
	 * @param requestDigest the digest of route and body
	 * @param attempt the id of the attempt
	 * @param atMs the start of the attempt, in milliseconds since the epoch
	 */
	record BeginIntent(String customer, String idempotencyKey, String requestDigest, String attempt,
			long atMs) implements Command {
	}

	/**
	 * Records the outcome of an attempt registered by {@link BeginIntent}.
	 *
	 * @param customer the name of the customer
	 * @param idempotencyKey the caller's idempotency key
	 * @param attempt the id of the attempt
	 * @param answer the outcome, returned to every retry of the request
	 */
	record FinishIntent(String customer, String idempotencyKey, String attempt,
			AttemptOutcome answer) implements Command {
	}

	/**
	 * Opens a training step, which collects one sample per slot.
	 *
	 * @param customer the name of the customer
	 * @param step the trainer's name for the step
	 * @param model the model, which is the name of the pool that generates the samples
	 * @param digest the digest of the prompt groups
	 * @param slotCount the number of slots
	 * @param ageBoundVersions the number of weight versions a sample may lag behind the
	 * newest
	 */
	record OpenStep(String customer, String step, String model, String digest, int slotCount,
			int ageBoundVersions) implements Command {
	}

	/**
	 * Adds samples to the empty slots of a step.
	 *
	 * @param customer the name of the customer
	 * @param step the name of the step
	 * @param samples the samples
	 */
	record FillSlots(String customer, String step, List<Sample> samples) implements Command {
	}

	/**
	 * Commits the batch of a step if every slot holds a sample within the age bound.
	 *
	 * @param customer the name of the customer
	 * @param step the name of the step
	 */
	record CommitStep(String customer, String step) implements Command {
	}

	/**
	 * Releases a committed batch that its trainer has received.
	 *
	 * @param customer the name of the customer
	 * @param step the name of the step
	 */
	record ReleaseStep(String customer, String step) implements Command {
	}

	/**
	 * Adds a usage report to the totals of its window.
	 *
	 * @param source the id of the reporting process, new after each restart
	 * @param sequence the sequence number of the report, increasing per source
	 * @param windowStartMs the start of the window, in milliseconds since the epoch
	 * @param figures the usage figures
	 */
	record RecordUsage(String source, long sequence, long windowStartMs, List<UsageFigure> figures) implements Command {
	}

	/**
	 * Adds the part of a usage report that a backup agent holds, submitted when the
	 * source of the report seems lost.
	 *
	 * @param part the part of the report
	 */
	record RecordUsagePart(UsagePart part) implements Command {
	}

	/**
	 * Closes a usage window.
	 *
	 * @param startMs the start of the window, in milliseconds since the epoch
	 * @param endMs the end of the window, in milliseconds since the epoch
	 */
	record CloseWindow(long startMs, long endMs) implements Command {
	}

	/**
	 * Marks the report of a closed usage window as received by the platform.
	 *
	 * @param startMs the start of the window, in milliseconds since the epoch
	 */
	record AcknowledgeWindow(long startMs) implements Command {
	}

	/**
	 * Sets the desired number of targets of a pool.
	 *
	 * @param pool the name of the pool
	 * @param countsByFailureDomain the number of targets by failure domain
	 */
	record OrderTargets(String pool, Map<String, Integer> countsByFailureDomain) implements Command {
	}

	/**
	 * Announces a new weight version of a model; an older version changes nothing.
	 *
	 * @param model the model, which is the name of its pool
	 * @param version the weight version
	 */
	record AnnounceWeights(String model, long version) implements Command {
	}

	/**
	 * Reports a crash of a target together with the requests that it was running.
	 *
	 * @param crashId the id of the crash, by which several reports of it count once
	 * @param requestDigests the digests of the running requests
	 * @param answeredDigests the digests of suspected requests that an entry without
	 * agents has got answers to
	 * @param losses the requests that an entry without agents lost on targets that ended
	 * @param trial the trial of a released request that an entry without agents asks for,
	 * or null
	 */
	record ReportCrash(String crashId, List<String> requestDigests, List<String> answeredDigests,
			List<Suspicion> losses, @Nullable Trial trial) implements Command {

		/**
		 * Accepts a command without answers and losses, as earlier versions wrote it.
		 */
		public ReportCrash {
			answeredDigests = Objects.requireNonNullElse(answeredDigests, List.of());
			losses = Objects.requireNonNullElse(losses, List.of());
		}

		/**
		 * Creates the report of an agent.
		 * @param crashId the id of the crash
		 * @param requestDigests the digests of the running requests
		 */
		public ReportCrash(String crashId, List<String> requestDigests) {
			this(crashId, requestDigests, List.of(), List.of(), null);
		}

		/**
		 * Creates the report of an entry without agents. Earlier versions take it for a
		 * crash without requests.
		 * @param answeredDigests the digests of suspected requests that were answered
		 * @param losses the requests that were lost
		 * @return the command
		 */
		public static ReportCrash ofLosses(List<String> answeredDigests, List<Suspicion> losses) {
			return new ReportCrash("", List.of(), answeredDigests, losses, null);
		}

		/**
		 * Creates the request for a trial, which is refused while another trial of the
		 * same request may still run. Earlier versions of control accept each.
		 * @param digest the digest of the released request
		 * @param atMs the time of the trial, in milliseconds since the epoch
		 * @return the command
		 */
		public static ReportCrash ofTrial(String digest, long atMs) {
			return new ReportCrash("", List.of(), List.of(), List.of(), new Trial(digest, atMs));
		}

		/**
		 * A trial of a released request.
		 *
		 * @param digest the digest of the request
		 * @param atMs the time of the trial, in milliseconds since the epoch
		 */
		public record Trial(String digest, long atMs) {
		}

	}

	/**
	 * Clears the suspicion of a request that completed while it ran alone on a target.
	 *
	 * @param requestDigest the digest of the request
	 */
	record ClearSuspect(String requestDigest) implements Command {
	}

	/**
	 * Lifts the quarantine of a request.
	 *
	 * @param requestDigest the digest of the request
	 */
	record LiftQuarantine(String requestDigest) implements Command {
	}

	/**
	 * Starts or stops draining a target, or records that it left by itself, which
	 * software targets have or which process holds the duties of the leader.
	 *
	 * @param targetId the id of the target
	 * @param leaving true if the target must accept no new work, false if it may serve
	 * again
	 * @param left the start of the target that has left, null for an operator's order and
	 * in commands of earlier versions
	 * @param software a sighting of a software version, null in other commands
	 * @param duty the claim of a leader, null in other commands
	 */
	record DrainTarget(String targetId, boolean leaving, @Nullable LeftTarget left, @Nullable SoftwareSighting software,
			@Nullable DutyClaim duty) implements Command {

		/**
		 * Creates an operator's order.
		 * @param targetId the id of the target
		 * @param leaving true if the target must accept no new work, false if it may
		 * serve again
		 */
		public DrainTarget(String targetId, boolean leaving) {
			this(targetId, leaving, null, null, null);
		}

		/**
		 * Creates the record of a target that left. Earlier versions take it for the end
		 * of an operator's order.
		 * @param left the start of the target that has left
		 * @return the command
		 */
		public static DrainTarget ofLeft(LeftTarget left) {
			return new DrainTarget(left.id(), false, left, null, null);
		}

		/**
		 * Creates the record of a software version. Earlier versions take it for the end
		 * of an operator's order for a target that does not exist.
		 * @param software the sighting
		 * @return the command
		 */
		public static DrainTarget ofSoftware(SoftwareSighting software) {
			return new DrainTarget("", false, null, software, null);
		}

		/**
		 * Creates the claim of a leader. Earlier versions take it for the end of an
		 * operator's order for a target that does not exist.
		 * @param claim the claim
		 * @return the command
		 */
		public static DrainTarget ofDuty(DutyClaim claim) {
			return new DrainTarget("", false, null, null, claim);
		}

	}

	/**
	 * Replaces the routing table if the new one has a higher number.
	 *
	 * @param table the new table
	 * @param document the document that the operator submitted
	 */
	record ReplaceTable(RoutingTable table, byte[] document) implements Command {
	}

	/**
	 * Accepts a job; submitting it again changes nothing.
	 *
	 * @param submission the job
	 * @param knownEndsIndex the index up to which the sender knew ends of jobs to be
	 * forgettable when it sent the command, null in commands of earlier versions
	 * @param match the owners whose job the submission may repeat, null in commands of
	 * earlier versions, which repeat only a job of the same id
	 */
	record SubmitJob(JobSubmission submission, @Nullable Long knownEndsIndex,
			@Nullable OwnerMatch match) implements Command {

		/**
		 * Creates a command as earlier versions write it, which is accepted whatever ends
		 * are forgotten.
		 * @param submission the job
		 */
		public SubmitJob(JobSubmission submission) {
			this(submission, null, null);
		}

		/**
		 * Returns the owners whose job the submission may repeat.
		 * @return the owners
		 */
		public OwnerMatch ownerMatch() {
			return Objects.requireNonNullElse(this.match, OwnerMatch.EXACT);
		}

	}

	/**
	 * Adds item results to a job.
	 *
	 * @param id the id of the job
	 * @param results the results, in order of their positions
	 * @param storedEvents the number of stored progress events that precede the text of a
	 * result, by item id, for items that resumed from stored progress
	 */
	record FinishItems(JobId id, List<ItemResult> results, Map<String, Integer> storedEvents) implements Command {

		/**
		 * Accepts a command without stored events, as earlier versions wrote it; its
		 * results hold complete texts.
		 */
		public FinishItems {
			storedEvents = Objects.requireNonNullElse(storedEvents, Map.of());
		}

		/**
		 * Creates a command whose results hold complete texts.
		 * @param id the id of the job
		 * @param results the results, in order of their positions
		 */
		public FinishItems(JobId id, List<ItemResult> results) {
			this(id, results, Map.of());
		}

	}

	/**
	 * Stores the progress of items so that another process can resume them.
	 *
	 * @param id the id of the job
	 * @param progress the new progress of each item
	 */
	record RecordProgress(JobId id, List<ItemProgress> progress) implements Command {
	}

	/**
	 * Ends a job; none of its remaining items runs afterwards, also if the job is
	 * submitted later.
	 *
	 * @param id the customer of the call, if any, and the caller's id of the job
	 * @param match the owners whose job the call may mean, null in commands of earlier
	 * versions, which name the job itself
	 */
	record EndJob(JobId id, @Nullable OwnerMatch match) implements Command {

		/**
		 * Creates a command for a job of exactly this owner.
		 * @param id the id of the job
		 */
		public EndJob(JobId id) {
			this(id, null);
		}

		/**
		 * Returns the call that the command carries out.
		 * @return the call
		 */
		public JobCall call() {
			return JobCall.of(this.id, this.match);
		}

	}

	/**
	 * Removes jobs whose retention has ended, and forgets ends of jobs that were not
	 * known when they ended.
	 *
	 * @param ids the ids of the jobs
	 * @param forgettableIndex the log index up to which ends may be forgotten by the next
	 * such command, null in commands of earlier versions, which remove all of the jobs at
	 * once
	 */
	record RemoveJobs(List<JobId> ids, @Nullable Long forgettableIndex) implements Command {

		/**
		 * Creates a command that removes all of the jobs at once.
		 * @param ids the ids of the jobs
		 */
		public RemoveJobs(List<JobId> ids) {
			this(ids, null);
		}

	}

	/**
	 * Retires a control process from the membership once a replacement has joined.
	 *
	 * @param memberName the member name of the process
	 */
	record RetireMember(String memberName) implements Command {
	}

	/**
	 * Orders that nothing is sent to the targets of a failure domain, or ends such an
	 * order. It is refused if another order changed the domain after this one was given,
	 * since a process may stand still between the two.
	 *
	 * @param failureDomain the failure domain
	 * @param evacuated true if nothing must be sent to the targets, false if they are
	 * used again
	 * @param givenAtIndex the log index of the last command whose effect was known when
	 * the order was given
	 */
	record EvacuateDomain(String failureDomain, boolean evacuated, long givenAtIndex) implements Command {
	}

}

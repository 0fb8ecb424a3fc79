package org.zinniatack.core.state;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

import org.zinniatack.core.config.RecordKind;
import org.zinniatack.core.job.ItemProgress;
import org.zinniatack.core.job.ItemResult;
import org.zinniatack.core.job.JobId;
import org.zinniatack.core.job.JobSubmission;
import org.zinniatack.core.sample.Sample;
import org.zinniatack.core.table.RoutingTable;
import org.zinniatack.core.usage.UsageFigure;
import org.zinniatack.core.usage.UsagePart;

/**
 * A change of the replicated state.
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
		@JsonSubTypes.Type(value = Command.RetireMember.class, name = "retire") })
public sealed interface Command {

	/**
	 * Writes a configuration record.
	 *
	 * @param requestId the operator's id of the request, the same when it is sent again
	 * @param kind the kind of the record
	 * @param name the name of the record
	 * @param schemaVersion the schema version of the document
	 * @param document the JSON document
	 * @param expectedRevision the revision that the operator has seen, 0 for none
	 */
	record PutRecord(String requestId, RecordKind kind, String name, int schemaVersion, String document,
			long expectedRevision) implements Command {
	}

	/**
	 * Takes a configuration record out of force.
	 *
	 * @param requestId the operator's id of the request, the same when it is sent again
	 * @param kind the kind of the record
	 * @param name the name of the record
	 * @param expectedRevision the revision that the operator has seen
	 */
	record WithdrawRecord(String requestId, RecordKind kind, String name, long expectedRevision) implements Command {
	}

	/**
	 * States that a request that may not be repeated is about to run.
	 *
	 * @param customer the customer
	 * @param idempotencyKey the caller's key of the request
	 * @param requestDigest the digest of route and body
	 * @param attempt the id of this attempt
	 * @param atMs the time, in milliseconds since the epoch
	 */
	record BeginIntent(String customer, String idempotencyKey, String requestDigest, String attempt,
			long atMs) implements Command {
	}

	/**
	 * States what became of an attempt.
	 *
	 * @param customer the customer
	 * @param idempotencyKey the caller's key of the request
	 * @param attempt the id of the attempt
	 * @param answer the answer to give to every repeat
	 */
	record FinishIntent(String customer, String idempotencyKey, String attempt,
			AttemptOutcome answer) implements Command {
	}

	/**
	 * Opens a step of a trainer.
	 *
	 * @param customer the customer
	 * @param step the trainer's name for the step
	 * @param model the pool that generates
	 * @param digest the digest of the groups
	 * @param slotCount the number of slots
	 * @param ageBoundVersions how many versions a sample may lag behind
	 */
	record OpenStep(String customer, String step, String model, String digest, int slotCount,
			int ageBoundVersions) implements Command {
	}

	/**
	 * Fills slots of a step.
	 *
	 * @param customer the customer
	 * @param step the step
	 * @param samples the samples
	 */
	record FillSlots(String customer, String step, List<Sample> samples) implements Command {
	}

	/**
	 * Makes the batch of a step final if it is whole and within the age bound.
	 *
	 * @param customer the customer
	 * @param step the step
	 */
	record CommitStep(String customer, String step) implements Command {
	}

	/**
	 * Releases a batch that its trainer has received.
	 *
	 * @param customer the customer
	 * @param step the step
	 */
	record ReleaseStep(String customer, String step) implements Command {
	}

	/**
	 * Counts use.
	 *
	 * @param source the id of the reporting process, new at each of its starts
	 * @param sequence the number of the report, rising by source
	 * @param windowStartMs the start of the window, in milliseconds since the epoch
	 * @param figures the figures
	 */
	record RecordUsage(String source, long sequence, long windowStartMs, List<UsageFigure> figures) implements Command {
	}

	/**
	 * Counts the part of a report of use that a backup agent holds.
	 *
	 * @param part the part
	 */
	record RecordUsagePart(UsagePart part) implements Command {
	}

	/**
	 * Closes a window of usage.
	 *
	 * @param startMs the start, in milliseconds since the epoch
	 * @param endMs the end, in milliseconds since the epoch
	 */
	record CloseWindow(long startMs, long endMs) implements Command {
	}

	/**
	 * Notes that the platform has received the report of a window.
	 *
	 * @param startMs the start of the window, in milliseconds since the epoch
	 */
	record AcknowledgeWindow(long startMs) implements Command {
	}

	/**
	 * Orders the number of targets of a pool.
	 *
	 * @param pool the pool
	 * @param countsByFailureDomain the number of targets by failure domain
	 */
	record OrderTargets(String pool, Map<String, Integer> countsByFailureDomain) implements Command {
	}

	/**
	 * Notes a new weight version of a model; an older one changes nothing.
	 *
	 * @param model the model, which is the name of its pool
	 * @param version the version
	 */
	record AnnounceWeights(String model, long version) implements Command {
	}

	/**
	 * Counts a crash of a target against the requests that it was running.
	 *
	 * @param crashId the id of the crash, so that several reports count once
	 * @param requestDigests the digests of customer and request
	 */
	record ReportCrash(String crashId, List<String> requestDigests) implements Command {
	}

	/**
	 * Lifts the suspicion from a request that ran alone to its end.
	 *
	 * @param requestDigest the digest of customer and request
	 */
	record ClearSuspect(String requestDigest) implements Command {
	}

	/**
	 * Lets a quarantined request run again.
	 *
	 * @param requestDigest the digest of customer and request
	 */
	record LiftQuarantine(String requestDigest) implements Command {
	}

	/**
	 * Makes a target leave, or lets it serve again.
	 *
	 * @param targetId the id of the target
	 * @param leaving true if it must accept no new work
	 */
	record DrainTarget(String targetId, boolean leaving) implements Command {
	}

	/**
	 * Puts a routing table in force, unless one with the same or a higher number is.
	 *
	 * @param table the table
	 * @param document the operator's text of it
	 */
	record ReplaceTable(RoutingTable table, byte[] document) implements Command {
	}

	/**
	 * Accepts a job, once.
	 *
	 * @param submission the job
	 */
	record SubmitJob(JobSubmission submission) implements Command {
	}

	/**
	 * Adds results to a job.
	 *
	 * @param id the job
	 * @param results the results in the order of their positions
	 * @param storedEvents for items whose text begins after stored progress, how many of
	 * its events come before
	 */
	record FinishItems(JobId id, List<ItemResult> results, Map<String, Integer> storedEvents) implements Command {

		/**
		 * Takes a command without stored events, as earlier versions wrote it, for one
		 * with whole texts.
		 */
		public FinishItems {
			storedEvents = Objects.requireNonNullElse(storedEvents, Map.of());
		}

		/**
		 * Returns a command whose results have whole texts.
		 * @param id the job
		 * @param results the results in the order of their positions
		 */
		public FinishItems(JobId id, List<ItemResult> results) {
			this(id, results, Map.of());
		}

	}

	/**
	 * Stores the progress of items, so that another process can go on with them.
	 *
	 * @param id the job
	 * @param progress what the items have gained
	 */
	record RecordProgress(JobId id, List<ItemProgress> progress) implements Command {
	}

	/**
	 * Ends a job; nothing of it is to run from then on.
	 *
	 * @param id the job
	 */
	record EndJob(JobId id) implements Command {
	}

	/**
	 * Forgets jobs that need not be read any more.
	 *
	 * @param ids the jobs
	 */
	record RemoveJobs(List<JobId> ids) implements Command {
	}

	/**
	 * Has a control process leave the members once another has taken its place.
	 *
	 * @param memberName its name among the members
	 */
	record RetireMember(String memberName) implements Command {
	}

}

package org.zinniatack.control;

import java.util.OptionalLong;

import org.zinniatack.core.job.Job;
import org.zinniatack.core.job.JobRetentionPolicy;
import org.zinniatack.core.job.JobSize;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.ControlState;
import org.zinniatack.core.state.StateSize;

/**
 * The heap that the replicated state may take. Only a leader applies it, to changes that
 * add to the state: what was accepted is kept, however large.
 *
 * @param stateBytes the limit of the state with all that it is expected to hold, in bytes
 * @param tableBytes the limit of an operator's document, in bytes
 * @param tableRoutes the limit of the routes in it
 * @param retention decides when a job may be removed
 */
record StateBudget(long stateBytes, int tableBytes, int tableRoutes, JobRetentionPolicy retention) {

	static final int TABLE_BYTES = 4 * 1024 * 1024;

	/** A job of this size is written to a disk within a third of the lease. */
	static final long JOB_BYTES = 12 * 1024 * 1024;

	static final int TABLE_ROUTES = 15_000;

	private static final long MIB = 1024 * 1024;

	/**
	 * The young generation, the entries since the last snapshot, and what a process
	 * without a state takes.
	 */
	private static final long FIXED_HEAP_BYTES = 96 * MIB;

	/** The heap for a byte of an operator's document. */
	private static final long TABLE_HEAP_RATIO = 3;

	/** A small heap may hold a state in this part of it. */
	private static final int SMALL_HEAP_DIVISOR = 4;

	/** The heap for a byte of the state, with what restoring and encoding it takes. */
	private static final double HEAP_RATIO = 1.25;

	private static final long MIN_RETRY_MS = 1_000;

	/** Returns the budget of a process with the heap of this one. */
	static StateBudget ofThisProcess(long retentionMs) {
		return ofHeap(Runtime.getRuntime().maxMemory(), retentionMs);
	}

	static StateBudget ofHeap(long heapBytes, long retentionMs) {
		long stateBytes = Math.max(heapBytes / SMALL_HEAP_DIVISOR,
				(long) ((heapBytes - FIXED_HEAP_BYTES) / HEAP_RATIO));
		return new StateBudget(stateBytes, TABLE_BYTES, TABLE_ROUTES, new JobRetentionPolicy(retentionMs));
	}

	/**
	 * Returns what a command adds to the state, zero for commands that are always
	 * accepted.
	 * @throws ServiceException with {@link ResultCode#CHANGE_TOO_LARGE} if the command
	 * does not even fit an empty state
	 */
	JobSize demandOf(Command command) throws ServiceException {
		if (command instanceof Command.ReplaceTable replace) {
			requireTable(replace.document().length, replace.table().routes().size());
		}
		if (!(command instanceof Command.SubmitJob submit)) {
			return JobSize.ZERO;
		}
		JobSize demand = Job.sizeOf(submit.submission());
		requireAtMost(submit, demand.finalBytes(), jobBytes());
		requireAtMost(submit, demand.storedBytes(), Math.min(JOB_BYTES, jobBytes()));
		return demand;
	}

	private static void requireAtMost(Command.SubmitJob submit, long bytes, long limitBytes) throws ServiceException {
		if (bytes > limitBytes) {
			throw ServiceException.of(ResultCode.CHANGE_TOO_LARGE, "job %s takes %d bytes, the limit is %d"
				.formatted(submit.submission().id().name(), bytes, limitBytes));
		}
	}

	/**
	 * Checks the size of a routing table.
	 * @throws ServiceException with {@link ResultCode#CHANGE_TOO_LARGE} if it exceeds a
	 * limit
	 */
	void requireTable(int documentBytes, int routes) throws ServiceException {
		if (documentBytes > this.tableBytes) {
			throw ServiceException.of(ResultCode.CHANGE_TOO_LARGE,
					"the configuration has %d bytes, the limit is %d".formatted(documentBytes, this.tableBytes));
		}
		if (routes > this.tableRoutes) {
			throw ServiceException.of(ResultCode.CHANGE_TOO_LARGE,
					"the configuration has %d routes, the limit is %d".formatted(routes, this.tableRoutes));
		}
	}

	/** Returns whether jobs fit beside the state and the largest table. */
	boolean fits(StateSize state, JobSize added) {
		return added.storedBytes() == 0 || state.jobs().plus(added).finalBytes() <= jobBytes();
	}

	/** Returns the refusal of a job that does not fit. */
	ServiceException refusal(ControlState state, JobSize added, long nowMs) {
		JobSize all = state.jobs().size().plus(added);
		OptionalLong freedAtMs = state.jobs().freedAtMs(all.finalBytes() - jobBytes(), this.retention);
		long retryAfterMs = Math.max(MIN_RETRY_MS, freedAtMs.orElse(nowMs + MIN_RETRY_MS) - nowMs);
		return ServiceException.retryable(ResultCode.STATE_FULL,
				"the jobs would take %d bytes with their results, the limit is %d".formatted(all.finalBytes(),
						jobBytes()),
				retryAfterMs);
	}

	/** Returns what jobs may take; a table is never refused because of them. */
	private long jobBytes() {
		return this.stateBytes - Math.min(TABLE_HEAP_RATIO * this.tableBytes, this.stateBytes / 2);
	}

}

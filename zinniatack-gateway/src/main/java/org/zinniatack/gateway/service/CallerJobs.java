package org.zinniatack.gateway.service;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.zinniatack.core.job.JobId;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.wire.Message;

/**
 * Finds and reads jobs for their callers. A call of a customer means the customer's own
 * job, else the job of that name that nobody owns. Such a job was accepted without a
 * customer, so it is open to whoever knows its name. All results fail with a
 * {@link ServiceException} if no control process can confirm them.
 */
public final class CallerJobs {

	/** Beyond the last result of any job, so that a page holds none. */
	private static final int NO_RESULTS = Integer.MAX_VALUE;

	private final ControlLinks control;

	CallerJobs(ControlLinks control) {
		this.control = control;
	}

	/**
	 * Finds the job that a call means.
	 * @param id the customer of the call, if any, and the name of the job
	 * @return the id of the job, or empty if there is none
	 */
	public CompletableFuture<Optional<JobId>> find(JobId id) {
		return exists(id).thenCompose((own) -> (own || id.owner().isEmpty())
				? CompletableFuture.completedFuture(Optional.of(id).filter((known) -> own)) : exists(id.withoutOwner())
					.thenApply((found) -> Optional.of(id.withoutOwner()).filter((known) -> found)));
	}

	private CompletableFuture<Boolean> exists(JobId id) {
		return page(new Message.ReadJob(id, NO_RESULTS, 0)).thenApply(Message.JobPage::found);
	}

	/**
	 * Reads results of the job that a call means.
	 * @param read the job and the range of results
	 * @param absence returns the failure if there is no such job
	 * @return the results
	 */
	public CompletableFuture<Message.JobPage> read(Message.ReadJob read, Supplier<ServiceException> absence) {
		return page(read).thenCompose((page) -> {
			if (page.found()) {
				return CompletableFuture.completedFuture(page);
			}
			return read.id().owner().isEmpty() ? CompletableFuture.failedFuture(absence.get())
					: read(new Message.ReadJob(read.id().withoutOwner(), read.position(), read.waitMs()), absence);
		});
	}

	private CompletableFuture<Message.JobPage> page(Message.ReadJob read) {
		return this.control.call(read, read.waitMs()).thenApply(Message.JobPage.class::cast);
	}

	/**
	 * Reads the body of an item of the job that a call means.
	 * @param read the item
	 * @param absence returns the failure if there is no such job
	 * @return the body, or empty if the job has no such item that is unfinished
	 */
	public CompletableFuture<Optional<byte[]>> readItem(Message.ReadItem read, Supplier<ServiceException> absence) {
		return body(read).thenCompose((body) -> body.isPresent() ? CompletableFuture.completedFuture(body)
				: find(read.id()).thenCompose((found) -> found.isEmpty() ? CompletableFuture.failedFuture(absence.get())
						: bodyIn(found.get(), read)));
	}

	/**
	 * Reads the body again only if the job is another one than the item was read from.
	 */
	private CompletableFuture<Optional<byte[]>> bodyIn(JobId found, Message.ReadItem read) {
		return found.equals(read.id()) ? CompletableFuture.completedFuture(Optional.empty())
				: body(new Message.ReadItem(found, read.itemId()));
	}

	private CompletableFuture<Optional<byte[]>> body(Message.ReadItem read) {
		return this.control.call(read, 0)
			.thenApply((response) -> Optional.ofNullable(((Message.ItemBody) response).body()));
	}

}

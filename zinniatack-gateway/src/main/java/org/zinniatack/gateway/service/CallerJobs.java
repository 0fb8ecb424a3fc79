package org.zinniatack.gateway.service;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.zinniatack.core.job.JobCall;
import org.zinniatack.core.job.JobId;
import org.zinniatack.core.job.OwnerMatch;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.wire.Message;

/**
 * Finds and reads jobs for their callers. Control processes decide which job a call
 * means; those of earlier versions find only a job of exactly the owner in the call, so a
 * call of a customer that finds none is repeated for the job that nobody owns. All
 * results fail with a {@link ServiceException} if no control process can confirm them.
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
	 * @param call the call
	 * @return the id that finds the job, or empty if there is none
	 */
	public CompletableFuture<Optional<JobId>> find(JobCall call) {
		JobId id = call.id();
		return exists(call).thenCompose((own) -> (own || id.owner().isEmpty())
				? CompletableFuture.completedFuture(Optional.of(id).filter((known) -> own))
				: exists(new JobCall(id.withoutOwner(), OwnerMatch.EXACT))
					.thenApply((found) -> Optional.of(id.withoutOwner()).filter((known) -> found)));
	}

	private CompletableFuture<Boolean> exists(JobCall call) {
		return page(new Message.ReadJob(call.id(), NO_RESULTS, 0, call.match())).thenApply(Message.JobPage::found);
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
			return read.id().owner().isEmpty() ? CompletableFuture.failedFuture(absence.get()) : read(
					new Message.ReadJob(read.id().withoutOwner(), read.position(), read.waitMs(), OwnerMatch.EXACT),
					absence);
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
				: find(read.call()).thenCompose((found) -> found.isEmpty()
						? CompletableFuture.failedFuture(absence.get()) : bodyIn(found.get(), read)));
	}

	/**
	 * Reads the body again only if the job is another one than the item was read from.
	 */
	private CompletableFuture<Optional<byte[]>> bodyIn(JobId found, Message.ReadItem read) {
		return found.equals(read.id()) ? CompletableFuture.completedFuture(Optional.empty())
				: body(new Message.ReadItem(found, read.itemId(), OwnerMatch.EXACT));
	}

	private CompletableFuture<Optional<byte[]>> body(Message.ReadItem read) {
		return this.control.call(read, 0)
			.thenApply((response) -> Optional.ofNullable(((Message.ItemBody) response).body()));
	}

}

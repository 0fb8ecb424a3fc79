package org.zinniatack.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

import com.google.common.flogger.FluentLogger;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.sample.Sample;
import org.zinniatack.core.sample.StragglerPolicy;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.Reply;

/**
 * Generates the samples of one step: submits the unfilled slots, sends finished samples
 * to the control processes, reissues stragglers, and commits the batch once all slots are
 * filled.
 */
final class StepRunner {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final int MAXIMUM_CONCURRENT_ATTEMPTS = 3;

	/**
	 * Time for control to decide whether a request that crashed targets is quarantined.
	 */
	private static final long CRASH_VERDICT_MS = 1_000;

	private static final Set<ResultCode> ABANDONING_CODES = Set.of(ResultCode.KEY_WITHDRAWN_QUEUED,
			ResultCode.QUARANTINED);

	private final String customer;

	private final String step;

	private final Submitter submitter;

	private final Proposer control;

	private final StragglerPolicy stragglers;

	private final LongSupplier clockMs;

	private final Set<Integer> unfilledSlots = new HashSet<>();

	/** The slots whose next attempt is not yet listed in {@link #attemptsBySlot}. */
	private final Set<Integer> submittingSlots = new HashSet<>();

	private final Map<Integer, List<CallerRequest>> attemptsBySlot = new HashMap<>();

	/**
	 * The time before which a slot is not submitted, after its request crashed targets.
	 */
	private final Map<Integer, Long> pausedUntilMsBySlot = new HashMap<>();

	private final List<Sample> unsentSamples = new ArrayList<>();

	private boolean sending;

	private boolean committed;

	private @Nullable ServiceException abandonReason;

	StepRunner(String customer, String step, Submitter submitter, Proposer control, StragglerPolicy stragglers,
			LongSupplier clockMs) {
		this.customer = customer;
		this.step = step;
		this.submitter = submitter;
		this.control = control;
		this.stragglers = stragglers;
		this.clockMs = clockMs;
	}

	/** Starts generation for unfilled slots, or commits the step if there are none. */
	void generate(Collection<Integer> slots) {
		List<Integer> starting = new ArrayList<>();
		synchronized (this) {
			slots.stream().filter(this.unfilledSlots::add).forEach(starting::add);
			this.submittingSlots.addAll(starting);
		}
		starting.forEach(this::submitSlot);
		if (slots.isEmpty()) {
			commit();
		}
	}

	private void submitSlot(int slot) {
		try {
			CallerRequest request = this.submitter.submit(slot, new SlotSink(slot));
			if (!addAttempt(slot, request)) {
				this.submitter.cancel(request);
			}
		}
		catch (ServiceException ex) {
			if (ABANDONING_CODES.contains(ex.code())) {
				abandon(ex);
				return;
			}
			LOGGER.atFine().log("event=slot_waits step=%s slot=%d code=%d", this.step, slot, ex.code().number());
		}
		catch (RuntimeException ex) {
			LOGGER.atSevere()
				.withCause(ex)
				.log("event=slot_not_submitted step=%s slot=%d code=%d", this.step, slot, ResultCode.INTERNAL.number());
		}
		finally {
			synchronized (this) {
				this.submittingSlots.remove(slot);
			}
		}
	}

	/** Returns false if an unfinished attempt is not needed, since its slot is filled. */
	private synchronized boolean addAttempt(int slot, CallerRequest request) {
		if (this.unfilledSlots.contains(slot)) {
			this.attemptsBySlot.computeIfAbsent(slot, (absent) -> new ArrayList<>()).add(request);
			return true;
		}
		return request.isDone();
	}

	/** Abandons the step; the trainer may submit it again with a valid key. */
	private synchronized void abandon(ServiceException reason) {
		if (this.abandonReason == null) {
			this.abandonReason = reason;
			LOGGER.atInfo()
				.log("event=step_abandoned customer=%s step=%s code=%d", this.customer, this.step,
						reason.code().number());
		}
	}

	/**
	 * Reissues slots that have no unfinished attempt or whose newest attempt is a
	 * straggler, then sends finished samples.
	 */
	void reissueSlots() {
		long nowMs = this.clockMs.getAsLong();
		List<Integer> reissued = new ArrayList<>();
		synchronized (this) {
			this.unfilledSlots.stream().filter((slot) -> needsAttempt(slot, nowMs)).forEach(reissued::add);
			this.submittingSlots.addAll(reissued);
		}
		reissued.forEach(this::submitSlot);
		sendSamples();
	}

	private boolean needsAttempt(int slot, long nowMs) {
		if (this.submittingSlots.contains(slot) || nowMs < this.pausedUntilMsBySlot.getOrDefault(slot, nowMs)) {
			return false;
		}
		List<CallerRequest> unfinished = this.attemptsBySlot.getOrDefault(slot, new ArrayList<>());
		unfinished.removeIf(CallerRequest::isDone);
		return unfinished.isEmpty() || (unfinished.size() < MAXIMUM_CONCURRENT_ATTEMPTS
				&& tryReissue(unfinished.get(unfinished.size() - 1), nowMs));
	}

	private synchronized void pause(int slot) {
		this.pausedUntilMsBySlot.put(slot, this.clockMs.getAsLong() + CRASH_VERDICT_MS);
	}

	private boolean tryReissue(CallerRequest newest, long nowMs) {
		return newest.target() != null && this.stragglers.tryReissue(nowMs - newest.startedMs());
	}

	/** Returns whether the step is committed or abandoned. */
	synchronized boolean isFinished() {
		return this.committed || this.abandonReason != null;
	}

	/** Returns the reason why the step was abandoned, or empty if it was not. */
	synchronized Optional<ServiceException> abandonReason() {
		return Optional.ofNullable(this.abandonReason);
	}

	synchronized int unfilledSlotCount() {
		return this.unfilledSlots.size();
	}

	private void onSample(Sample sample, long durationMs) {
		List<CallerRequest> others = new ArrayList<>();
		synchronized (this) {
			if (!this.unfilledSlots.remove(sample.slot())) {
				return;
			}
			this.stragglers.recordDuration(durationMs);
			this.unsentSamples.add(sample);
			others.addAll(this.attemptsBySlot.getOrDefault(sample.slot(), List.of()));
			this.attemptsBySlot.remove(sample.slot());
		}
		others.stream().filter((request) -> !request.isDone()).forEach(this.submitter::cancel);
		sendSamples();
	}

	private void sendSamples() {
		List<Sample> sent;
		synchronized (this) {
			if (this.sending || this.unsentSamples.isEmpty()) {
				return;
			}
			this.sending = true;
			sent = List.copyOf(this.unsentSamples);
		}
		this.control.propose(new Command.FillSlots(this.customer, this.step, sent))
			.whenComplete((reply, failure) -> onFillReply(sent, reply, failure));
	}

	private void onFillReply(List<Sample> sent, @Nullable Reply reply, @Nullable Throwable failure) {
		synchronized (this) {
			this.sending = false;
			if (failure == null) {
				this.unsentSamples.removeAll(sent);
			}
		}
		if (failure != null) {
			return;
		}
		if (reply instanceof Reply.Slots slots && slots.missing().isEmpty()) {
			commit();
		}
		else if (reply instanceof Reply.Slots slots) {
			cancelFilled(slots.missing());
			regenerateRejected(sent, slots.missing());
		}
		sendSamples();
	}

	/** Cancels the attempts for slots that another entry has filled. */
	private void cancelFilled(Collection<Integer> missing) {
		Set<Integer> missingSlots = Set.copyOf(missing);
		List<CallerRequest> redundant = new ArrayList<>();
		synchronized (this) {
			List<Integer> filled = this.unfilledSlots.stream().filter((slot) -> !missingSlots.contains(slot)).toList();
			filled.forEach((slot) -> {
				this.unfilledSlots.remove(slot);
				redundant.addAll(Optional.ofNullable(this.attemptsBySlot.remove(slot)).orElse(List.of()));
			});
		}
		redundant.stream().filter((request) -> !request.isDone()).forEach(this.submitter::cancel);
	}

	/** Regenerates samples that control rejected because they are too old. */
	private void regenerateRejected(List<Sample> sent, Collection<Integer> missing) {
		generate(sent.stream().map(Sample::slot).filter(Set.copyOf(missing)::contains).toList());
	}

	private void commit() {
		this.control.propose(new Command.CommitStep(this.customer, this.step)).thenAccept((reply) -> {
			if (reply instanceof Reply.Slots slots && !slots.missing().isEmpty()) {
				generate(slots.missing());
			}
			else if (reply instanceof Reply.Slots) {
				synchronized (this) {
					this.committed = true;
				}
				LOGGER.atInfo().log("event=step_committed customer=%s step=%s", this.customer, this.step);
			}
		});
	}

	/** Submits generation requests for slots and cancels them. */
	interface Submitter {

		CallerRequest submit(int slot, AnswerSink sink) throws ServiceException;

		void cancel(CallerRequest request);

	}

	private final class SlotSink implements AnswerSink {

		private final int slot;

		private final long submittedMs = StepRunner.this.clockMs.getAsLong();

		SlotSink(int slot) {
			this.slot = slot;
		}

		@Override
		public void complete(Answer answer) {
			boolean allSpansAttributed = !answer.spans().isEmpty()
					&& answer.spans().stream().allMatch((span) -> span.weightVersion() > 0);
			if (allSpansAttributed) {
				onSample(new Sample(this.slot, answer.text(), answer.finishReason(), answer.spans()),
						StepRunner.this.clockMs.getAsLong() - this.submittedMs);
			}
			else {
				LOGGER.atWarning()
					.log("event=sample_refused step=%s slot=%d code=%d", StepRunner.this.step, this.slot,
							ResultCode.SAMPLE_UNATTRIBUTED.number());
			}
		}

		@Override
		public void fail(ServiceException failure) {
			LOGGER.atFine()
				.log("event=slot_failed step=%s slot=%d code=%d", StepRunner.this.step, this.slot,
						failure.code().number());
			if (failure.code() == ResultCode.TARGET_CRASHED) {
				pause(this.slot);
			}
		}

	}

}

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
 * Generates the samples of one step: submits its empty slots, hands whole samples to
 * control, issues stragglers again, and commits the batch once every slot is filled.
 */
final class StepRunner {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final int LIVE_ATTEMPTS = 3;

	private static final Set<ResultCode> ABANDONING = Set.of(ResultCode.KEY_WITHDRAWN_QUEUED, ResultCode.QUARANTINED);

	private final String customer;

	private final String step;

	private final Submitter submitter;

	private final Proposer control;

	private final StragglerPolicy stragglers;

	private final LongSupplier clockMs;

	private final Set<Integer> open = new HashSet<>();

	private final Map<Integer, List<CallerRequest>> attempts = new HashMap<>();

	private final List<Sample> unsent = new ArrayList<>();

	private boolean sending;

	private boolean committed;

	private @Nullable ServiceException abandonment;

	StepRunner(String customer, String step, Submitter submitter, Proposer control, StragglerPolicy stragglers,
			LongSupplier clockMs) {
		this.customer = customer;
		this.step = step;
		this.submitter = submitter;
		this.control = control;
		this.stragglers = stragglers;
		this.clockMs = clockMs;
	}

	/** Generates slots that are empty. */
	void generate(Collection<Integer> slots) {
		List<Integer> starting = new ArrayList<>();
		synchronized (this) {
			slots.stream().filter(this.open::add).forEach(starting::add);
		}
		starting.forEach(this::issue);
		if (slots.isEmpty()) {
			commit();
		}
	}

	private void issue(int slot) {
		try {
			CallerRequest request = this.submitter.submit(slot, new SlotSink(slot));
			synchronized (this) {
				this.attempts.computeIfAbsent(slot, (absent) -> new ArrayList<>()).add(request);
			}
		}
		catch (ServiceException ex) {
			if (ABANDONING.contains(ex.code())) {
				abandon(ex);
				return;
			}
			LOGGER.atFine().log("event=slot_waits step=%s slot=%d code=%d", this.step, slot, ex.code().number());
		}
	}

	/** Gives the step up; the trainer may post it again with a key that is in force. */
	private synchronized void abandon(ServiceException reason) {
		if (this.abandonment == null) {
			this.abandonment = reason;
			LOGGER.atInfo()
				.log("event=step_abandoned customer=%s step=%s code=%d", this.customer, this.step,
						reason.code().number());
		}
	}

	/** Issues slots again that have no attempt left, or whose attempt is a straggler. */
	void tend() {
		long nowMs = this.clockMs.getAsLong();
		List<Integer> again = new ArrayList<>();
		synchronized (this) {
			for (int slot : this.open) {
				List<CallerRequest> live = this.attempts.getOrDefault(slot, new ArrayList<>());
				live.removeIf(CallerRequest::isDone);
				boolean slow = !live.isEmpty() && live.size() < LIVE_ATTEMPTS
						&& isSlow(live.get(live.size() - 1), nowMs);
				if (live.isEmpty() || slow) {
					again.add(slot);
				}
			}
		}
		again.forEach(this::issue);
		send();
	}

	private boolean isSlow(CallerRequest newest, long nowMs) {
		return newest.target() != null && this.stragglers.tryReissue(nowMs - newest.startedMs());
	}

	/** Returns whether the step is committed or given up. */
	synchronized boolean isOver() {
		return this.committed || this.abandonment != null;
	}

	/** Returns why the step was given up, empty if it was not. */
	synchronized Optional<ServiceException> abandonment() {
		return Optional.ofNullable(this.abandonment);
	}

	synchronized int openSlots() {
		return this.open.size();
	}

	private void arrived(Sample sample, long durationMs) {
		List<CallerRequest> others = new ArrayList<>();
		synchronized (this) {
			if (!this.open.remove(sample.slot())) {
				return;
			}
			this.stragglers.recordDuration(durationMs);
			this.unsent.add(sample);
			others.addAll(this.attempts.getOrDefault(sample.slot(), List.of()));
			this.attempts.remove(sample.slot());
		}
		others.stream().filter((request) -> !request.isDone()).forEach(this.submitter::cancel);
		send();
	}

	private void send() {
		List<Sample> sent;
		synchronized (this) {
			if (this.sending || this.unsent.isEmpty()) {
				return;
			}
			this.sending = true;
			sent = List.copyOf(this.unsent);
		}
		this.control.propose(new Command.FillSlots(this.customer, this.step, sent))
			.whenComplete((reply, failure) -> filled(sent, reply, failure));
	}

	private void filled(List<Sample> sent, @Nullable Reply reply, @Nullable Throwable failure) {
		synchronized (this) {
			this.sending = false;
			if (failure == null) {
				this.unsent.removeAll(sent);
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
			reopen(sent, slots.missing());
		}
		send();
	}

	/** Ends the generation of slots that another entry has filled. */
	private void cancelFilled(Collection<Integer> missing) {
		Set<Integer> empty = Set.copyOf(missing);
		List<CallerRequest> needless = new ArrayList<>();
		synchronized (this) {
			List<Integer> filled = this.open.stream().filter((slot) -> !empty.contains(slot)).toList();
			filled.forEach((slot) -> {
				this.open.remove(slot);
				needless.addAll(Optional.ofNullable(this.attempts.remove(slot)).orElse(List.of()));
			});
		}
		needless.stream().filter((request) -> !request.isDone()).forEach(this.submitter::cancel);
	}

	/** Generates again what control found too old. */
	private void reopen(List<Sample> sent, Collection<Integer> missing) {
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

	/** Submits the generation of a slot and cancels it. */
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
			boolean attributed = !answer.spans().isEmpty()
					&& answer.spans().stream().allMatch((span) -> span.weightVersion() > 0);
			if (attributed) {
				arrived(new Sample(this.slot, answer.text(), answer.finishReason(), answer.spans()),
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
		}

	}

}

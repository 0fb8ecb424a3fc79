package org.zinniatack.gateway.job;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.table.Route;
import org.zinniatack.gateway.http.RequestFailure;
import org.zinniatack.gateway.http.ResponseListener;
import org.zinniatack.gateway.target.LoadedVersions;
import org.zinniatack.gateway.target.TargetPaces;
import org.zinniatack.gateway.target.TargetProtocol;
import org.zinniatack.gateway.target.TargetProtocol.RequestOutcome;
import org.zinniatack.gateway.target.TargetSelector;
import org.zinniatack.gateway.target.TargetStats;

/**
 * Generates an item at one target and interprets its response.
 */
final class ItemAttempt implements ResponseListener {

	/** A longer gap is a pause, such as a load of weights, and does not measure speed. */
	private static final long MAXIMUM_EVENT_GAP_MS = 400;

	private static final long REFUSAL_PAUSE_MS = 100;

	/** As many events as tell whether a target is slow. */
	private static final int PACE_EVENTS = 3;

	/** Four times the longest text, to allow for the framing of its events. */
	private static final long MAXIMUM_STREAM_BYTES = 4 * EventText.MAXIMUM_TEXT_BYTES;

	private static final int OUTPUT_STATUS = 200;

	private static final int NEVER_POSSIBLE_STATUS = 422;

	/** Only failures with this status count towards giving up an item. */
	static final int FAILED_STATUS = 500;

	private final EventLoop loop;

	private final TargetProtocol protocol;

	private final LoadedVersions versions;

	private final TargetSelector targets;

	private final TargetStats stats;

	private final AttemptHandler handler;

	private final ItemRun run;

	private final Route route;

	private final TargetNotice target;

	private final long sentAtMs;

	/** The events and the time on which the pace of the target is judged. */
	private int measuredEventCount;

	private long measuredMs;

	private boolean paceRecorded;

	private boolean ended;

	private @Nullable RequestOutcome outcome;

	ItemAttempt(EventLoop loop, TargetProtocol protocol, LoadedVersions versions, TargetSelector targets,
			AttemptHandler handler, ItemRun run, Route route, TargetNotice target) {
		this.loop = loop;
		this.protocol = protocol;
		this.versions = versions;
		this.targets = targets;
		this.stats = targets.stats(target.id());
		this.handler = handler;
		this.run = run;
		this.route = route;
		this.target = target;
		this.sentAtMs = nowMs();
	}

	private long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.loop.ticker().nanoTime());
	}

	/** Records that the target no longer generates the item. */
	void end() {
		if (!this.ended) {
			this.ended = true;
			this.stats.recordFinished();
		}
	}

	@Override
	public void onHead(HttpResponse head) {
		this.outcome = outcomeOf(head);
		this.protocol.reportedLoad(head).ifPresent((load) -> this.stats.recordLoad(load, nowMs()));
		if (this.protocol.isLeaving(head)) {
			this.targets.markLeaving(this.target);
		}
		this.targets.markCold(this.target, this.protocol.coldRemainingMs(head));
		if (this.outcome == RequestOutcome.FAILED && head.status().code() == NEVER_POSSIBLE_STATUS) {
			this.run.canceller.run();
			this.handler.finish(this.run, ItemOutcome.givenUp(this.run), "status " + NEVER_POSSIBLE_STATUS);
			return;
		}
		if (this.outcome != RequestOutcome.ANSWERED) {
			return;
		}
		this.stats.recordAnswering();
		this.run.lastProgressAtMs = nowMs();
		OptionalLong version = this.protocol.weightVersion(head);
		version.ifPresent((value) -> this.versions.recordVersion(this.target, this.run.job.model(), value));
		if (version.isEmpty() || version.getAsLong() < this.run.job.oldestVersion()) {
			this.run.canceller.run();
			this.handler.handleLoss(this.run, "weight version is missing or older than the job accepts: " + version);
			return;
		}
		if (this.route.singleVersion() && this.run.text.eventCount() > 0
				&& !this.run.text.versions().equals(List.of(version.getAsLong()))) {
			this.run.canceller.run();
			this.run.restart();
			this.handler.handleLoss(this.run, "weight version differs from that of the earlier events");
			return;
		}
		this.run.text.beginStream(version.getAsLong(), this.target.softwareVersion());
	}

	/** Only the body of one status is an output, whether or not others are sealed. */
	private RequestOutcome outcomeOf(HttpResponse head) {
		RequestOutcome reported = this.protocol.outcome(head);
		return (reported == RequestOutcome.ANSWERED && head.status().code() != OUTPUT_STATUS) ? RequestOutcome.FAILED
				: reported;
	}

	@Override
	public long maximumBodyBytes() {
		return MAXIMUM_STREAM_BYTES;
	}

	@Override
	public void onContent(ByteBuf content) {
		if (this.outcome != RequestOutcome.ANSWERED) {
			return;
		}
		int before = this.run.text.eventCount();
		this.run.text.read(content);
		int events = this.run.text.eventCount() - before;
		if (events > 0) {
			measureEvents(events);
		}
		if (this.run.text.isInvalid()) {
			recordMalformed();
			this.run.canceller.run();
			this.run.restart();
			this.handler.handleLoss(this.run, "events are out of order or too long");
		}
		else if (this.run.text.isMalformed()) {
			recordMalformed();
			this.run.canceller.run();
			this.handler.handleLoss(this.run, "the stream goes on with something that is no event");
		}
	}

	private void recordMalformed() {
		this.targets.paces().onLoss(this.target, this.sentAtMs, nowMs());
	}

	private void measureEvents(int events) {
		long sinceMs = nowMs() - this.run.lastProgressAtMs;
		this.run.lastProgressAtMs = nowMs();
		boolean paused = this.versions.isLoading(this.target.id(), this.run.job.model());
		if (this.run.attemptEventCount > 0 && !paused && sinceMs < MAXIMUM_EVENT_GAP_MS) {
			this.stats.recordEvents(events, sinceMs);
			this.stats.recordEventSpeed(events, sinceMs, nowMs());
			recordPace(events, sinceMs);
		}
		else if (this.run.attemptEventCount == 0) {
			this.stats.recordFirstEvent(nowMs() - this.run.sentAtMs);
		}
		this.run.attemptEventCount += events;
	}

	/**
	 * Judges an item by the time of its first events: items differ too much in length.
	 */
	private void recordPace(int events, long durationMs) {
		this.measuredEventCount += events;
		this.measuredMs += durationMs;
		recordPaceFrom(PACE_EVENTS);
	}

	private void recordPaceFrom(int eventCount) {
		if (this.measuredEventCount >= eventCount && !this.paceRecorded) {
			this.paceRecorded = true;
			this.targets.paces()
				.onAnswer(this.target, TargetPaces.Measure.EVENT, this.sentAtMs,
						this.measuredMs / (double) this.measuredEventCount, nowMs());
		}
	}

	/** An output that came in one piece was in time, but tells nothing of the speed. */
	private void recordUnmeasuredPace() {
		if (!this.paceRecorded) {
			this.targets.paces().onAnswerInTime(this.target, this.sentAtMs, nowMs());
		}
	}

	@Override
	public void onEnd(HttpResponse head) {
		end();
		RequestOutcome finalOutcome = (this.outcome != null) ? this.outcome : RequestOutcome.FAILED;
		switch (finalOutcome) {
			case ANSWERED -> onStreamEnd(head);
			case FAILED -> onFailed(head.status().code());
			case NOT_RUN -> {
				this.stats.avoidUntil(nowMs() + REFUSAL_PAUSE_MS);
				this.targets.paces().onRefusal(this.target, this.sentAtMs, nowMs());
				this.handler.requeue(this.run);
			}
			case WRONG_TARGET -> {
				this.targets.markAbsent(this.target, nowMs());
				this.handler.requeue(this.run);
			}
		}
	}

	private void onStreamEnd(HttpResponse head) {
		boolean framed = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
		boolean complete = this.run.text.endStream(framed);
		boolean mixed = this.route.singleVersion() && this.run.text.versions().size() != 1;
		if (!complete || mixed) {
			if (mixed || this.run.text.isStuck()) {
				this.run.restart();
			}
			this.handler.handleLoss(this.run,
					mixed ? "several weight versions" : "the stream ended without its last event");
			return;
		}
		this.stats.recordSuccess();
		recordPaceFrom(1);
		recordUnmeasuredPace();
		this.handler.handleGenerated(this.run, this.route);
	}

	private void onFailed(int status) {
		this.stats.recordFailure();
		if (status != FAILED_STATUS) {
			this.handler.handleLoss(this.run, "status " + status);
			return;
		}
		this.run.failureCount++;
		if (this.run.failureCount >= this.route.maximumAttempts()) {
			this.handler.finish(this.run, ItemOutcome.givenUp(this.run), "status " + status);
		}
		else {
			this.handler.requeue(this.run);
		}
	}

	@Override
	public void onFailure(RequestFailure failure) {
		end();
		this.targets.markLost(this.target, this.sentAtMs, nowMs());
		if (failure.mayHaveRun()) {
			this.handler.handleLoss(this.run, failure.detail());
		}
		else {
			this.handler.handleNotSent(this.run, failure.detail());
		}
	}

	/** Handles items after an attempt. */
	interface AttemptHandler extends ItemScorer.FinishHandler {

		/** Retries an item whose attempt was lost. */
		void handleLoss(ItemRun run, String detail);

		/** Retries an item that did not reach its target. */
		void handleNotSent(ItemRun run, String detail);

		/** Makes the item wait for a target again. */
		void requeue(ItemRun run);

		/** Scores or finishes an item whose output is complete. */
		void handleGenerated(ItemRun run, Route route);

	}

}

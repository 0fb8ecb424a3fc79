package org.zinniatack.direct.job;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.table.Route;
import org.zinniatack.direct.http.RequestFailure;
import org.zinniatack.direct.http.ResponseListener;
import org.zinniatack.direct.target.LoadedVersions;
import org.zinniatack.direct.target.TargetDialect;
import org.zinniatack.direct.target.TargetDialect.RequestOutcome;
import org.zinniatack.direct.target.TargetSelector;
import org.zinniatack.direct.target.TargetStats;

/**
 * One generation of an item at one target.
 */
final class ItemAttempt implements ResponseListener {

	/** A longer gap is a pause, such as a load of weights, and no measure of pace. */
	private static final long EVENT_PAUSE_MS = 400;

	private static final long REFUSAL_PAUSE_MS = 100;

	/** Four times the longest text, for what names and frames its events. */
	private static final long MAXIMUM_STREAM_BYTES = 4 * EventText.MAXIMUM_TEXT_BYTES;

	private final EventLoop loop;

	private final TargetDialect dialect;

	private final LoadedVersions versions;

	private final TargetSelector targets;

	private final TargetStats stats;

	private final Course course;

	private final ItemRun run;

	private final Route route;

	private final TargetNotice target;

	private boolean over;

	private @Nullable RequestOutcome verdict;

	ItemAttempt(EventLoop loop, TargetDialect dialect, LoadedVersions versions, TargetSelector targets, Course course,
			ItemRun run, Route route, TargetNotice target) {
		this.loop = loop;
		this.dialect = dialect;
		this.versions = versions;
		this.targets = targets;
		this.stats = targets.stats(target.id());
		this.course = course;
		this.run = run;
		this.route = route;
		this.target = target;
	}

	private long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.loop.ticker().nanoTime());
	}

	/** Notes that the target works on it no more. */
	void end() {
		if (!this.over) {
			this.over = true;
			this.stats.recordFinished();
		}
	}

	@Override
	public void onHead(HttpResponse head) {
		this.verdict = this.dialect.outcome(head);
		this.dialect.reportedLoad(head).ifPresent((load) -> this.stats.recordLoad(load, nowMs()));
		if (this.dialect.isLeaving(head)) {
			this.targets.markLeaving(this.target);
		}
		if (this.verdict != RequestOutcome.ANSWERED) {
			return;
		}
		this.run.heardAtMs = nowMs();
		OptionalLong version = this.dialect.weightVersion(head);
		version.ifPresent((value) -> this.versions.recordVersion(this.target, this.run.job.model(), value));
		if (version.isEmpty() || version.getAsLong() < this.run.job.oldestVersion()) {
			this.run.canceller.run();
			this.course.lose(this.run, "generated under version " + version);
			return;
		}
		if (this.route.singleVersion() && this.run.text.eventCount() > 0
				&& !this.run.text.versions().equals(List.of(version.getAsLong()))) {
			this.run.canceller.run();
			this.run.beginAgain();
			this.course.lose(this.run, "another version than that of the events before");
			return;
		}
		this.run.text.beginStream(version.getAsLong());
	}

	@Override
	public long maximumBodyBytes() {
		return MAXIMUM_STREAM_BYTES;
	}

	@Override
	public void onContent(ByteBuf content) {
		if (this.verdict != RequestOutcome.ANSWERED) {
			return;
		}
		int before = this.run.text.eventCount();
		this.run.text.read(content);
		int events = this.run.text.eventCount() - before;
		if (events > 0) {
			noteEvents(events);
		}
		if (this.run.text.isUnsound()) {
			this.run.canceller.run();
			this.run.beginAgain();
			this.course.lose(this.run, "events out of order or without end");
		}
	}

	private void noteEvents(int events) {
		long sinceMs = nowMs() - this.run.heardAtMs;
		this.run.heardAtMs = nowMs();
		boolean paused = this.versions.isLoading(this.target.id(), this.run.job.model());
		if (this.run.eventsHere > 0 && !paused && sinceMs < EVENT_PAUSE_MS) {
			this.stats.recordEvents(events, sinceMs);
		}
		this.run.eventsHere += events;
	}

	@Override
	public void onEnd(HttpResponse head) {
		end();
		RequestOutcome said = (this.verdict != null) ? this.verdict : RequestOutcome.FAILED;
		switch (said) {
			case ANSWERED -> onWhole();
			case FAILED -> onFailed(head.status().code());
			case NOT_RUN -> {
				this.stats.avoidUntil(nowMs() + REFUSAL_PAUSE_MS);
				this.course.waitAgain(this.run);
			}
			case WRONG_TARGET -> {
				this.stats.recordUnreachable(nowMs());
				this.course.waitAgain(this.run);
			}
		}
	}

	private void onWhole() {
		boolean mixed = this.route.singleVersion() && this.run.text.versions().size() != 1;
		if (this.run.text.isMidEvent() || this.run.text.eventCount() == 0 || mixed) {
			if (mixed) {
				this.run.beginAgain();
			}
			this.course.lose(this.run, mixed ? "several versions" : "the last event is not whole");
			return;
		}
		this.stats.recordSuccess();
		this.course.generated(this.run, this.route);
	}

	private void onFailed(int status) {
		this.stats.recordFailure();
		this.run.failureCount++;
		boolean impossible = status == ResultCode.QUARANTINED.httpStatus();
		if (impossible || this.run.failureCount >= this.route.maximumAttempts()) {
			this.course.finish(this.run, ItemEnd.givenUp(this.run), "status " + status);
		}
		else {
			this.course.waitAgain(this.run);
		}
	}

	@Override
	public void onFailure(RequestFailure failure) {
		end();
		this.stats.recordUnreachable(nowMs());
		this.course.lose(this.run, failure.detail());
	}

	/** What becomes of an item after an attempt. */
	interface Course extends ItemScorer.Outcome {

		/** Generates the item elsewhere, since the attempt was lost. */
		void lose(ItemRun run, String detail);

		/** Lets the item wait for a target again. */
		void waitAgain(ItemRun run);

		/** Goes on with an item whose output is whole. */
		void generated(ItemRun run, Route route);

	}

}

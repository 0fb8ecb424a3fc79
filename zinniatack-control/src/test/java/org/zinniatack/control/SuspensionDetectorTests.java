package org.zinniatack.control;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.util.concurrent.Ticker;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link SuspensionDetector} with clocks that are set.
 */
class SuspensionDetectorTests {

	private static final long THRESHOLD_MS = 35;

	private final AtomicLong monotonicMs = new AtomicLong(1_000);

	private final AtomicLong wallMs = new AtomicLong(1_700_000_000_000L);

	private long pauseMs;

	private final SuspensionDetector detector = new SuspensionDetector(new SetTicker(), this::readWall, THRESHOLD_MS);

	/** Reads the wall clock after a pause of the thread, if there is one. */
	private long readWall() {
		pass(this.pauseMs);
		this.pauseMs = 0;
		return this.wallMs.get();
	}

	private void pass(long durationMs) {
		this.monotonicMs.addAndGet(durationMs);
		this.wallMs.addAndGet(durationMs);
	}

	@Test
	void timeThatBothClocksCountIsNoSuspension() {
		for (int round = 0; round < 100; round++) {
			pass(5_000);
			assertThat(this.detector.count(), is(0));
		}
	}

	@Test
	void eachSuspensionIsCountedOnceWhetherOrNotTheProcessRanForLong() {
		pass(50);
		this.wallMs.addAndGet(4_000);
		assertThat(this.detector.count(), is(1));
		pass(10_000);
		assertThat(this.detector.count(), is(1));
		this.wallMs.addAndGet(THRESHOLD_MS + 1);
		assertThat(this.detector.count(), is(2));
	}

	// Guards against a leader that gives up because its thread got no processor between
	// the two readings.
	@Test
	void aPauseOfTheThreadBetweenTheTwoReadingsIsNoSuspensionAndHidesNone() {
		this.pauseMs = 500;
		assertThat(this.detector.count(), is(0));
		pass(1_000);
		assertThat(this.detector.count(), is(0));
		this.pauseMs = 500;
		this.wallMs.addAndGet(4_000);
		assertThat(this.detector.count(), is(1));
	}

	@Test
	void aWallClockThatIsSetBackIsNoSuspensionAndHidesNoneAfterwards() {
		this.wallMs.addAndGet(-2_000);
		assertThat(this.detector.count(), is(0));
		this.wallMs.addAndGet(500);
		assertThat(this.detector.count(), is(1));
	}

	private final class SetTicker implements Ticker {

		@Override
		public long initialNanoTime() {
			return 0;
		}

		@Override
		public long nanoTime() {
			return TimeUnit.MILLISECONDS.toNanos(SuspensionDetectorTests.this.monotonicMs.get());
		}

		@Override
		public void sleep(long delay, TimeUnit unit) {
			throw new IllegalStateException("nothing sleeps here");
		}

	}

}

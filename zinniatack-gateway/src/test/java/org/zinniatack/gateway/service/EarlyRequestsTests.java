package org.zinniatack.gateway.service;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/**
 * Pattern: all processes restart at once, and callers reach an entry before control has a
 * leader.
 */
class EarlyRequestsTests {

	private static final long DEADLINE_MS = 700;

	private static final long LIMIT_MS = DEADLINE_MS - EarlyRequests.MINIMUM_SERVICE_MS;

	private final MockTicker ticker = Ticker.newMockTicker();

	private final EmbeddedChannel channel = EmbeddedChannel.builder().ticker(this.ticker).build();

	private final EarlyRequests requests = new EarlyRequests(this.channel.eventLoop());

	private final List<String> events = new ArrayList<>();

	@AfterEach
	void close() {
		this.channel.finishAndReleaseAll();
	}

	private EarlyRequests.EarlyRequest request(String name) {
		return new EarlyRequests.EarlyRequest() {

			@Override
			public String id() {
				return name;
			}

			@Override
			public void handle() {
				EarlyRequestsTests.this.events.add("handle " + name);
			}

			@Override
			public void refuse() {
				EarlyRequestsTests.this.events.add("refuse " + name);
			}

		};
	}

	private void advance(long ms) {
		this.ticker.advance(ms, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
	}

	@Test
	void aRequestIsHandledAsSoonAsTheTableArrives() {
		assertThat(this.requests.hold(request("first"), 0, DEADLINE_MS).isPresent(), is(true));
		assertThat(this.requests.hold(request("second"), 0, DEADLINE_MS).isPresent(), is(true));
		advance(LIMIT_MS - 1);
		assertThat(this.events, is(empty()));
		this.requests.release();
		assertThat(this.events, contains("handle first", "handle second"));
		advance(LIMIT_MS);
		assertThat(this.events, contains("handle first", "handle second"));
	}

	@Test
	void aRequestIsRefusedOnceItCanNoLongerBeServed() {
		this.requests.hold(request("late"), 0, DEADLINE_MS);
		advance(LIMIT_MS);
		assertThat(this.events, contains("refuse late"));
		this.requests.release();
		assertThat(this.events, contains("refuse late"));
	}

	@Test
	void aRequestWithoutTimeLeftIsNotHeld() {
		assertThat(this.requests.hold(request("late"), 0, EarlyRequests.MINIMUM_SERVICE_MS).isPresent(), is(false));
	}

	@Test
	void aRequestWithALateDeadlineIsHeldForABoundedTime() {
		this.requests.hold(request("patient"), 0, Long.MAX_VALUE);
		advance(EarlyRequests.MAXIMUM_HOLD_MS);
		assertThat(this.events, contains("refuse patient"));
	}

	@Test
	void aRequestWhoseCallerHasLeftIsForgotten() {
		Runnable forget = this.requests.hold(request("gone"), EarlyRequests.MAXIMUM_BYTES, DEADLINE_MS).orElseThrow();
		forget.run();
		this.requests.release();
		assertThat(this.events, is(empty()));
		assertThat(this.requests.hold(request("next"), EarlyRequests.MAXIMUM_BYTES, DEADLINE_MS).isPresent(), is(true));
	}

	@Test
	void theNumberAndTheBytesOfHeldRequestsAreBounded() {
		assertThat(this.requests.hold(request("large"), EarlyRequests.MAXIMUM_BYTES, DEADLINE_MS).isPresent(),
				is(true));
		assertThat(this.requests.hold(request("another"), 1, DEADLINE_MS).isPresent(), is(false));
		for (int number = this.requests.count(); number < EarlyRequests.MAXIMUM_COUNT; number++) {
			assertThat(this.requests.hold(request("small"), 0, DEADLINE_MS).isPresent(), is(true));
		}
		assertThat(this.requests.hold(request("one too many"), 0, DEADLINE_MS).isPresent(), is(false));
	}

}

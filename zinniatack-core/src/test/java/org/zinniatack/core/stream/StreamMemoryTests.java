package org.zinniatack.core.stream;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.ControlState;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests of {@link StreamOrigins} and {@link SoftwareHistory}: for how long, and of how
 * many streams, it is known where they began.
 */
class StreamMemoryTests {

	private static final StreamOrigin ORIGIN = new StreamOrigin("p", "v1");

	private static final long START_MS = 1_700_000_000_000L;

	private final StreamOrigins origins = new StreamOrigins();

	private long index;

	@Test
	void theOriginOfAStreamIsThatOfItsFirstRecord() {
		this.origins.record(new BegunStream(1, ORIGIN), 0);
		this.origins.record(new BegunStream(1, new StreamOrigin("p", "v2")), 1);
		assertThat(this.origins.find(1), is(Optional.of(ORIGIN)));
	}

	@Test
	void anOriginIsRememberedForTheRetentionTime() {
		this.origins.record(new BegunStream(1, ORIGIN), 0);
		this.origins.record(new BegunStream(2, ORIGIN), StreamOrigins.RETENTION_MS);
		assertThat(this.origins.all().size(), is(2));
		this.origins.record(new BegunStream(3, ORIGIN), StreamOrigins.RETENTION_MS + 1);
		assertThat(this.origins.find(1), is(Optional.empty()));
		assertThat(this.origins.all(), is(List.of(new BegunStream(2, ORIGIN), new BegunStream(3, ORIGIN))));
	}

	// Guards against memory that grows with the streams of a minute.
	@Test
	void theOldestOriginsAreForgottenBeyondTheMaximum() {
		for (int key = 0; key <= StreamOrigins.MAXIMUM_COUNT; key++) {
			this.origins.record(new BegunStream(key, ORIGIN), 0);
		}
		assertThat(this.origins.all().size(), is(StreamOrigins.MAXIMUM_COUNT));
		assertThat(this.origins.find(0), is(Optional.empty()));
		assertThat(this.origins.find(1), is(Optional.of(ORIGIN)));
	}

	@Test
	void attemptsOfTwoCustomersWithOneIdAreTwoStreams() {
		assertThat(BegunStream.keyOf("a", "r"), is(not(BegunStream.keyOf("b", "r"))));
		assertThat(BegunStream.keyOf("a", "r"), is(not(BegunStream.keyOf("r", "a"))));
	}

	private ControlState sighted(ControlState state, String pool, String version, long atMs) {
		state.apply(++this.index, Command.DrainTarget.ofSoftware(new SoftwareSighting(pool, version, atMs)));
		return state;
	}

	// Guards against a take-up that goes on at the version that is left, after a loss of
	// all processes.
	@Test
	void aVersionThatHasLeftIsKnownForAsLongAsItsStreamsCanBeTakenUpAlsoAfterARestart() throws Exception {
		ControlState state = sighted(sighted(new ControlState(), "p", "v1", START_MS), "q", "v9", START_MS);
		long lastStreamMs = START_MS + SoftwareHistory.RECORD_INTERVAL_MS;
		ControlState restarted = sighted(ControlState.of(state.image()), "p", "v2",
				lastStreamMs + StreamOrigins.RETENTION_MS);
		assertThat(restarted.softwareHistory().versions("p"), is(Set.of("v1", "v2")));
		sighted(restarted, "p", "v2", lastStreamMs + StreamOrigins.RETENTION_MS + 1);
		assertThat(restarted.softwareHistory().versions("p"), is(Set.of("v2")));
	}

	@Test
	void aVersionThatServesIsRecordedAgainAfterTheInterval() {
		SoftwareHistory history = sighted(new ControlState(), "p", "v1", START_MS).softwareHistory();
		long dueMs = START_MS + SoftwareHistory.RECORD_INTERVAL_MS;
		assertThat(history.isDue(new SoftwareSighting("p", "v1", dueMs - 1)), is(false));
		assertThat(history.isDue(new SoftwareSighting("p", "v1", dueMs)), is(true));
		assertThat(history.isDue(new SoftwareSighting("p", "v2", START_MS)), is(true));
		assertThat(history.isDue(new SoftwareSighting("q", "v1", START_MS)), is(true));
	}

}

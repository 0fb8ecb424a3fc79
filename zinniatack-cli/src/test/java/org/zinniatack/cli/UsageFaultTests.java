package org.zinniatack.cli;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests that usage is reported exactly once when an entry is lost before it has sent its
 * usage to control.
 */
class UsageFaultTests {

	private static final long USAGE_WINDOW_MS = 3_000;

	private static final long USAGE_INTERVAL_MS = 60_000;

	private static final int CALL_COUNT = 5;

	private static final int TOKENS_PER_CALL = 7;

	@TempDir
	private Path folder;

	private LocalSystem system;

	@BeforeEach
	void startSystem() throws Exception {
		this.system = new LocalSystem(this.folder, USAGE_WINDOW_MS, USAGE_INTERVAL_MS);
		this.system.start(1);
		this.system.startEngine("engine-1", "a", LocalSystem.engineOptions(0));
	}

	@AfterEach
	void stopSystem() {
		this.system.close();
	}

	@Test
	@Tag("known-red")
	void useOfAnEntryThatIsLostBeforeItReportsIsReportedOnce() throws Exception {
		for (int call = 0; call < CALL_COUNT; call++) {
			this.system.complete("entry-1", "usage " + call, TOKENS_PER_CALL, false);
		}
		this.system.abort("entry-1");
		LocalSystem.await("all usage is reported", () -> reportedTokens() == CALL_COUNT * TOKENS_PER_CALL);
		this.system.complete("entry-2", "another", TOKENS_PER_CALL, false);
		LocalSystem.await("later usage is reported", () -> reportedTokens() > CALL_COUNT * TOKENS_PER_CALL);
		TimeUnit.MILLISECONDS.sleep(USAGE_WINDOW_MS);
		assertThat(reportedTokens(), is((long) (CALL_COUNT + 1) * TOKENS_PER_CALL));
	}

	private long reportedTokens() throws Exception {
		long tokens = 0;
		for (JsonNode reports : this.system.getFromPlatform("/usage")) {
			for (JsonNode figure : reports.path(0).path("figures")) {
				tokens += figure.path("tokenCount").asLong();
			}
		}
		return tokens;
	}

}

package org.zinniatack.cli;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Usage that an entry has not brought before control when it is lost.
 */
class UsageFaultTests {

	private static final long WINDOW_MS = 3_000;

	private static final long INTERVAL_MS = 60_000;

	private static final int CALLS = 5;

	private static final int TOKENS_A_CALL = 7;

	@TempDir
	private Path folder;

	private LocalSystem system;

	@BeforeEach
	void startSystem() throws Exception {
		this.system = new LocalSystem(this.folder, WINDOW_MS, INTERVAL_MS);
		this.system.start(1);
		this.system.startEngine("engine-1", "a", LocalSystem.engine(0));
	}

	@AfterEach
	void stopSystem() {
		this.system.close();
	}

	@Test
	void useOfAnEntryThatIsLostBeforeItReportsIsReportedOnce() throws Exception {
		for (int call = 0; call < CALLS; call++) {
			this.system.complete("entry-1", "usage " + call, TOKENS_A_CALL, false);
		}
		this.system.drop("entry-1");
		LocalSystem.await("all use is reported", () -> reportedTokens() == CALLS * TOKENS_A_CALL);
		this.system.complete("entry-2", "another", TOKENS_A_CALL, false);
		LocalSystem.await("later use is reported", () -> reportedTokens() > CALLS * TOKENS_A_CALL);
		TimeUnit.MILLISECONDS.sleep(WINDOW_MS);
		assertThat(reportedTokens(), is((long) (CALLS + 1) * TOKENS_A_CALL));
	}

	private long reportedTokens() throws Exception {
		long tokens = 0;
		for (JsonNode reports : this.system.platform("/usage")) {
			for (JsonNode figure : reports.path(0).path("figures")) {
				tokens += figure.path("tokenCount").asLong();
			}
		}
		return tokens;
	}

}

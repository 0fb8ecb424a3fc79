package org.zinniatack.wire;

import java.io.File;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.zinniatack.core.job.ItemResult;
import org.zinniatack.core.job.JobId;
import org.zinniatack.core.job.JobItem;
import org.zinniatack.core.job.JobSubmission;
import org.zinniatack.core.job.Scoring;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.ControlState;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests the heap that a state takes, in a process whose heap is bounded.
 */
class StateHeapTests {

	private static final int MIB = 1024 * 1024;

	private static final int ITEMS = 160;

	/** The heap of a process that restores nothing, and of the buffers. */
	private static final int CONSTANT_MIB = 12;

	@TempDir
	private Path folder;

	private static JobItem item(String id, int bodyBytes) {
		Map<String, String> headers = Map.of("Model", "m", "Token-Usage", "1016,400", "Prompt-Prefix",
				"9c2e41:1000," + id + ":16", "Length-Hint", "400", "Content-Type", "application/octet-stream");
		return new JobItem(id, "group", "/prefix/" + id, headers, new byte[bodyBytes], "9c2e41:1000", 400,
				new Scoring("score-" + id, "host.example", "/score/" + id, new byte[64]));
	}

	private static void addJob(ControlState state, int number, int bodyBytes, int textBytes) {
		JobId id = new JobId("customer", "job-" + number);
		List<JobItem> items = IntStream.range(0, ITEMS)
			.mapToObj((position) -> item(number + "-" + position, bodyBytes))
			.toList();
		state.apply(2L * number,
				new Command.SubmitJob(new JobSubmission(id, "host.example", "m", 0, 0, 7_500, 40_000, items)));
		if (textBytes > 0) {
			state.apply(2L * number + 1,
					new Command.FinishItems(id, items.stream()
						.map((item) -> new ItemResult(item.id(), true, "x".repeat(textBytes), List.of(1L, 2L), "0.5"))
						.toList()));
		}
	}

	private String jobsRestoredWithin(Path file, long heapMiB) throws Exception {
		Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
				"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:MaxNewSize=8m", "-Xmx" + heapMiB + "m", "-cp",
				System.getProperty("java.class.path"), StateHeapProcess.class.getName(), file.toString())
			.redirectError(new File("/dev/null"))
			.start();
		String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		process.waitFor(1, TimeUnit.MINUTES);
		return output;
	}

	// Guards against a state that fits the disk, but not the heap of the process that
	// restores it and writes its snapshot.
	@ParameterizedTest
	@CsvSource({ "600, 0", "600, 4500", "12000, 0" })
	void aRestoredStateAndItsSnapshotTakeNoMoreThanOneAndAHalfTimesItsSize(int bodyBytes, int textBytes)
			throws Exception {
		ControlState state = new ControlState();
		int jobs = 0;
		while (state.jobs().size().storedBytes() < 32 * MIB) {
			addJob(state, ++jobs, bodyBytes, textBytes);
		}
		Path file = this.folder.resolve("state");
		try (var output = Files.newOutputStream(file)) {
			StateCodec.encode(state.image(), output);
		}
		long heapMiB = Files.size(file) * 3 / 2 / MIB + CONSTANT_MIB;
		assertThat(jobsRestoredWithin(file, heapMiB), is(String.valueOf(jobs)));
	}

}

package org.zinniatack.control;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.membership.MemberChange;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.table.CallerLimits;
import org.zinniatack.core.table.RoutingTable;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests of control processes that know each other only by seeds.
 */
class SeededControlTests {

	private static final long STEP_TIMEOUT_MS = 20_000;

	private static final long POLL_MS = 50;

	private static final List<String> SEEDS = List.of("127.0.1.1", "127.0.1.2", "127.0.1.3");

	private static final String NEWCOMER = "127.0.1.4";

	@TempDir
	private Path folder;

	private final int port = freePort();

	private final Map<String, ControlService> running = new ConcurrentHashMap<>();

	private static int freePort() {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return socket.getLocalPort();
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@AfterEach
	void stopAll() {
		List.copyOf(this.running.keySet()).forEach(this::stop);
	}

	private void start(String host, boolean firstStart) throws ServiceException {
		String address = host + ":" + this.port;
		ControlService service = new ControlService(
				new SeededControlSettings(nameOf(host), "a", this.folder.resolve(host).toString(), address, address,
						address, SEEDS.stream().map((seed) -> seed + ":1").toList(), firstStart, 1,
						"secret-of-this-test-only", "", 5, 0, 120, 1),
				Platform.none());
		this.running.put(host, service);
		service.start();
	}

	private static String nameOf(String host) {
		return "control-" + host.substring(host.lastIndexOf('.') + 1);
	}

	private void stop(String host) {
		this.running.remove(host).stop();
	}

	private void found() throws Exception {
		List<CompletableFuture<Void>> starts = new ArrayList<>();
		for (String seed : SEEDS) {
			starts.add(CompletableFuture.runAsync(() -> {
				try {
					start(seed, true);
				}
				catch (ServiceException ex) {
					throw new IllegalStateException(ex);
				}
			}));
		}
		for (CompletableFuture<Void> started : starts) {
			started.get(STEP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
		}
		replaceTable(SEEDS.get(0), 1);
	}

	/** Repeats until the table is accepted, as an operator does. */
	private void replaceTable(String host, long number) throws Exception {
		RoutingTable table = new RoutingTable(number, List.of(), Map.of(), List.of(),
				new CallerLimits(1024, 1024, 1_000, 1_000));
		until(() -> this.running.get(host).propose(new Command.ReplaceTable(table, new byte[] { (byte) number })));
	}

	private static <T> T until(Step<T> step) throws Exception {
		long startedNs = System.nanoTime();
		while (true) {
			try {
				return step.call().get(STEP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
			}
			catch (ExecutionException | TimeoutException ex) {
				if (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs) > STEP_TIMEOUT_MS) {
					throw ex;
				}
				TimeUnit.MILLISECONDS.sleep(POLL_MS);
			}
		}
	}

	private void untilTrue(Condition condition) throws Exception {
		until(() -> condition.holds() ? CompletableFuture.completedFuture(null)
				: CompletableFuture.failedFuture(new IllegalStateException("not yet")));
	}

	private List<String> voterHosts(String host) {
		ReplicaStatus status = (ReplicaStatus) this.running.get(host).dump().get("replica");
		return status.membership()
			.voters()
			.stream()
			.map(MemberChange::nameOf)
			.map((address) -> address.substring(0, address.indexOf(':')))
			.distinct()
			.toList();
	}

	private long tableNumber(String host) throws Exception {
		return until(() -> this.running.get(host).readCurrent((state) -> state.routingTable().table().number()));
	}

	@Test
	void seedsFoundOneSystemAndReadWhatAnyOfThemAccepted() throws Exception {
		found();
		replaceTable(SEEDS.get(2), 7);
		for (String seed : SEEDS) {
			assertThat(tableNumber(seed), is(7L));
			assertThat(voterHosts(seed), is(SEEDS));
		}
	}

	@Test
	void anEmptyProcessAtAnotherAddressTakesALostOnesPlace() throws Exception {
		found();
		stop(SEEDS.get(2));
		start(NEWCOMER, false);
		untilTrue(() -> voterHosts(SEEDS.get(0)).equals(List.of(SEEDS.get(0), SEEDS.get(1), NEWCOMER)));
		stop(SEEDS.get(1));
		replaceTable(NEWCOMER, 8);
		assertThat(tableNumber(SEEDS.get(0)), is(8L));
	}

	@Test
	void aSeedThatLostItsDiskFoundsNoSecondSystem() throws Exception {
		found();
		replaceTable(SEEDS.get(0), 9);
		stop(SEEDS.get(1));
		deleteFolder(SEEDS.get(1));
		start(SEEDS.get(1), true);
		assertThat(tableNumber(SEEDS.get(1)), is(9L));
		untilTrue(() -> voterHosts(SEEDS.get(1)).equals(SEEDS));
	}

	@Test
	void aRetiredProcessLeavesOnceAnotherVotesInItsPlace() throws Exception {
		found();
		String retiring = SEEDS.get(0);
		assertThat(refusal(this.running.get(retiring).retire(nameOf(retiring))), is(ResultCode.REVISION_CONFLICT));
		assertThat(refusal(this.running.get(retiring).retire("control-9")), is(ResultCode.RECORD_UNKNOWN));
		start(NEWCOMER, false);
		untilTrue(() -> this.running.get(retiring).dump().toString().contains(NEWCOMER));
		until(() -> this.running.get(SEEDS.get(1)).retire(nameOf(retiring)));
		untilTrue(() -> this.running.get(SEEDS.get(1)).isRetired(nameOf(retiring)).get(1, TimeUnit.SECONDS));
		assertThat(voterHosts(SEEDS.get(1)), is(List.of(SEEDS.get(1), SEEDS.get(2), NEWCOMER)));
		assertThat(tableNumber(NEWCOMER), is(1L));
	}

	@Test
	void whatATargetTellsOneProcessAllLearn() throws Exception {
		found();
		TargetNotice notice = new TargetNotice("t", 1, 1, "pool", "10.0.0.1:1", "a", TargetNotice.State.READY, 4,
				Map.of());
		untilTrue(() -> {
			this.running.get(SEEDS.get(0)).directory().announce(notice);
			return !this.running.get(SEEDS.get(2)).directory().readyTargets("pool").isEmpty();
		});
		this.running.get(SEEDS.get(1)).directory().announce(notice.asGone());
		for (String seed : SEEDS) {
			untilTrue(() -> this.running.get(seed).directory().readyTargets("pool").isEmpty());
		}
		assertThat(this.running.get(SEEDS.get(0)).directory().readyTargets("pool"), empty());
		assertThat(List.of(this.running.get(SEEDS.get(0)).directory().notice("t").state()),
				contains(TargetNotice.State.GONE));
		assertThat(this.running.get(SEEDS.get(0)).directory().notice("t").state(), not(TargetNotice.State.READY));
	}

	private static ResultCode refusal(CompletableFuture<Void> result) throws Exception {
		try {
			result.get(STEP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
		}
		catch (ExecutionException ex) {
			return ((ServiceException) ex.getCause()).code();
		}
		throw new AssertionError("accepted");
	}

	private void deleteFolder(String host) throws IOException {
		try (var files = Files.walk(this.folder.resolve(host))) {
			for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(path);
			}
		}
	}

	/** Something that may fail for a while. */
	private interface Step<T> {

		CompletableFuture<T> call() throws Exception;

	}

	/** Something that holds after a while. */
	private interface Condition {

		boolean holds() throws Exception;

	}

}

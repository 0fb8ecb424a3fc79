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
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.membership.MemberChange;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.table.CallerLimits;
import org.zinniatack.core.table.Pool;
import org.zinniatack.core.table.RoutingTable;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Responder;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests of control processes that find each other through seed addresses.
 */
class SeededControlTests {

	private static final int NOT_GRANTED = -1;

	private static final long TIMEOUT_MS = 20_000;

	private static final long POLL_MS = 50;

	private static final List<String> SEEDS = List.of("127.0.1.1", "127.0.1.2", "127.0.1.3");

	private static final String REPLACEMENT = "127.0.1.4";

	@TempDir
	private Path folder;

	private final int port = freePort();

	private final Map<String, ControlService> running = new ConcurrentHashMap<>();

	/** The failure domains of processes by host, "a" for those of other hosts. */
	private final Map<String, String> domains = new ConcurrentHashMap<>();

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
				new SeededControlSettings(nameOf(host), this.domains.getOrDefault(host, "a"),
						this.folder.resolve(host).toString(), address, address, address,
						SEEDS.stream().map((seed) -> seed + ":1").toList(), firstStart, 1, "secret-of-this-test-only",
						"", 5, 0, 120, 1, List.of(), this.domains.isEmpty() ? 0 : 1, 1, 0, false, 3_000),
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

	private void formSystem() throws Exception {
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
			started.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
		}
		replaceTable(SEEDS.get(0), 1);
	}

	/** Retries until the table is accepted, as an operator would. */
	private void replaceTable(String host, long number) throws Exception {
		RoutingTable table = new RoutingTable(number, List.of(), Map.of(), List.of(),
				new CallerLimits(1024, 1024, 1_000, 1_000));
		retryUntilSuccess(
				() -> this.running.get(host).propose(new Command.ReplaceTable(table, new byte[] { (byte) number })));
	}

	private static <T> T retryUntilSuccess(Call<T> attempt) throws Exception {
		long startedNs = System.nanoTime();
		while (true) {
			try {
				return attempt.call().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
			}
			catch (ExecutionException | TimeoutException ex) {
				if (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs) > TIMEOUT_MS) {
					throw ex;
				}
				TimeUnit.MILLISECONDS.sleep(POLL_MS);
			}
		}
	}

	private void awaitCondition(Condition condition) throws Exception {
		retryUntilSuccess(() -> condition.holds() ? CompletableFuture.completedFuture(null)
				: CompletableFuture.failedFuture(new IllegalStateException("the condition does not hold yet")));
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
		return retryUntilSuccess(
				() -> this.running.get(host).readCurrent((state) -> state.routingTable().table().number()));
	}

	@Test
	void seedsFoundOneSystemAndReadWhatAnyOfThemAccepted() throws Exception {
		formSystem();
		replaceTable(SEEDS.get(2), 7);
		for (String seed : SEEDS) {
			assertThat(tableNumber(seed), is(7L));
			assertThat(voterHosts(seed), is(SEEDS));
		}
	}

	private String leaderHost() throws Exception {
		awaitCondition(() -> this.running.get(SEEDS.get(0)).isReady());
		ReplicaStatus status = (ReplicaStatus) this.running.get(SEEDS.get(0)).dump().get("replica");
		return status.leaderId().substring(0, status.leaderId().indexOf(':'));
	}

	// Guards against a 503 to each read that comes while a new leader is elected and
	// connected to.
	@Test
	void aReadRightAfterTheEndOfALeaderIsAnsweredByItsSuccessor() throws Exception {
		formSystem();
		String leader = leaderHost();
		List<String> others = SEEDS.stream().filter((seed) -> !seed.equals(leader)).toList();
		stop(leader);
		for (String other : others) {
			assertThat(this.running.get(other)
				.readCurrent((state) -> state.routingTable().table().number())
				.get(TIMEOUT_MS, TimeUnit.MILLISECONDS), is(1L));
		}
	}

	@Test
	void anEmptyProcessAtAnotherAddressTakesALostOnesPlace() throws Exception {
		formSystem();
		stop(SEEDS.get(2));
		start(REPLACEMENT, false);
		awaitCondition(() -> voterHosts(SEEDS.get(0)).equals(List.of(SEEDS.get(0), SEEDS.get(1), REPLACEMENT)));
		stop(SEEDS.get(1));
		replaceTable(REPLACEMENT, 8);
		assertThat(tableNumber(SEEDS.get(0)), is(8L));
	}

	// Guards against elections that fail for most of a second after all have restarted,
	// since voters that are not seeds are connected to only later.
	@Test
	void aStartConnectsToTheMembersThatItsDiskNamesAndNoSeedIs() throws Exception {
		formSystem();
		start(REPLACEMENT, false);
		awaitCondition(() -> this.running.get(SEEDS.get(0)).dump().toString().contains(REPLACEMENT));
		stop(SEEDS.get(0));
		start(SEEDS.get(0), false);
		assertThat(this.running.get(SEEDS.get(0)).linkedMembers(), hasItem(REPLACEMENT + ':' + this.port));
	}

	private String leaderHost(String viewer) {
		ReplicaStatus status = (ReplicaStatus) this.running.get(viewer).dump().get("replica");
		return status.leaderId().split(":")[0];
	}

	// Guards against a process with an empty disk that no leader learns of, since its
	// seeds do not include the leader.
	@Test
	void anEmptyProcessJoinsWhileNoneOfItsSeedsLeads() throws Exception {
		formSystem();
		stop(SEEDS.get(2));
		deleteFolder(SEEDS.get(2));
		start(REPLACEMENT, false);
		awaitCondition(() -> voterHosts(REPLACEMENT).equals(List.of(SEEDS.get(0), SEEDS.get(1), REPLACEMENT)));
		awaitCondition(() -> {
			String leader = leaderHost(REPLACEMENT);
			if (SEEDS.contains(leader)) {
				stop(leader);
				start(leader, false);
			}
			return leader.equals(REPLACEMENT);
		});
		start(SEEDS.get(2), false);
		awaitCondition(
				() -> this.running.get(REPLACEMENT).dump().get("replica").toString().contains(SEEDS.get(2) + ":"));
		assertThat(leaderHost(REPLACEMENT), is(REPLACEMENT));
	}

	// Guards against the end of service with the loss of a failure domain that held more
	// voters than a quorum can do without, under 50 changes a second.
	@Test
	void votersMoveToAnotherFailureDomainAndTheLossOfOneIsBorne() throws Exception {
		this.domains.putAll(Map.of(SEEDS.get(0), "a", SEEDS.get(1), "a", SEEDS.get(2), "b", REPLACEMENT, "c"));
		formSystem();
		AtomicLong lastNumber = new AtomicLong(1);
		CompletableFuture<Void> load = CompletableFuture.runAsync(() -> replaceTables(lastNumber));
		start(REPLACEMENT, false);
		awaitCondition(() -> voterHosts(REPLACEMENT).containsAll(List.of(SEEDS.get(2), REPLACEMENT))
				&& voterHosts(REPLACEMENT).size() == 3);
		long acceptedBefore = lastNumber.get();
		stop(SEEDS.get(0));
		stop(SEEDS.get(1));
		awaitCondition(() -> lastNumber.get() > acceptedBefore + 20);
		this.running.remove(SEEDS.get(2)).stop();
		load.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
		start(SEEDS.get(0), false);
		start(SEEDS.get(1), false);
		start(SEEDS.get(2), false);
		assertThat(tableNumber(REPLACEMENT) >= lastNumber.get(), is(true));
	}

	/** Replaces the table again and again until the process of the last seed stops. */
	private void replaceTables(AtomicLong lastNumber) {
		ControlService service = this.running.get(SEEDS.get(2));
		while (this.running.get(SEEDS.get(2)) == service) {
			long next = lastNumber.get() + 1;
			try {
				RoutingTable table = new RoutingTable(next, List.of(), Map.of(), List.of(),
						new CallerLimits(1024, 1024, 1_000, 1_000));
				service.propose(new Command.ReplaceTable(table, new byte[] { (byte) next })).get(1, TimeUnit.SECONDS);
				lastNumber.set(next);
				TimeUnit.MILLISECONDS.sleep(20);
			}
			catch (ExecutionException | TimeoutException ex) {
				// No leader for a moment; the change is sent again.
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	@Test
	void aSeedThatLostItsDiskFoundsNoSecondSystem() throws Exception {
		formSystem();
		replaceTable(SEEDS.get(0), 9);
		stop(SEEDS.get(1));
		deleteFolder(SEEDS.get(1));
		start(SEEDS.get(1), true);
		assertThat(tableNumber(SEEDS.get(1)), is(9L));
		awaitCondition(() -> voterHosts(SEEDS.get(1)).equals(SEEDS));
	}

	@Test
	void aRetiredProcessLeavesOnceAnotherVotesInItsPlace() throws Exception {
		formSystem();
		String retiring = SEEDS.get(0);
		assertThat(failureCode(this.running.get(retiring).retire(nameOf(retiring))), is(ResultCode.REVISION_CONFLICT));
		assertThat(failureCode(this.running.get(retiring).retire("control-9")), is(ResultCode.RECORD_UNKNOWN));
		start(REPLACEMENT, false);
		awaitCondition(() -> this.running.get(retiring).dump().toString().contains(REPLACEMENT));
		retryUntilSuccess(() -> this.running.get(SEEDS.get(1)).retire(nameOf(retiring)));
		awaitCondition(() -> this.running.get(SEEDS.get(1)).isRetired(nameOf(retiring)).get(1, TimeUnit.SECONDS));
		assertThat(voterHosts(SEEDS.get(1)), is(List.of(SEEDS.get(1), SEEDS.get(2), REPLACEMENT)));
		assertThat(tableNumber(REPLACEMENT), is(1L));
	}

	@Test
	void whatATargetTellsOneProcessAllLearn() throws Exception {
		formSystem();
		TargetNotice notice = new TargetNotice("t", 1, 1, "pool", "10.0.0.1:1", "a", TargetNotice.State.READY, 4,
				Map.of());
		awaitCondition(() -> {
			this.running.get(SEEDS.get(0)).directory().announce(notice);
			return !this.running.get(SEEDS.get(2)).directory().readyTargets("pool").isEmpty();
		});
		this.running.get(SEEDS.get(1)).directory().announce(notice.asGone());
		for (String seed : SEEDS) {
			awaitCondition(() -> this.running.get(seed).directory().readyTargets("pool").isEmpty());
		}
		assertThat(this.running.get(SEEDS.get(0)).directory().readyTargets("pool"), empty());
		assertThat(List.of(this.running.get(SEEDS.get(0)).directory().notice("t").state()),
				contains(TargetNotice.State.GONE));
		assertThat(this.running.get(SEEDS.get(0)).directory().notice("t").state(), not(TargetNotice.State.READY));
	}

	private void awaitEvacuatedDomains(int count) throws Exception {
		for (ControlService service : this.running.values()) {
			awaitCondition(() -> service.directory().evacuatedDomainCount() == count);
		}
	}

	// Guards against an acknowledged evacuation that is lost with the leader or in a
	// restart of all, and one that a minority acknowledges.
	@Test
	void anAcknowledgedEvacuationSurvivesTheLossOfTheLeaderAndARestartOfAll() throws Exception {
		formSystem();
		assertThat(failureCode(this.running.get(SEEDS.get(0)).evacuate("z", true)), is(ResultCode.RECORD_UNKNOWN));
		retryUntilSuccess(() -> this.running.get(SEEDS.get(1)).evacuate("a", true));
		retryUntilSuccess(() -> this.running.get(SEEDS.get(2)).evacuate("a", true));
		stop(leaderHost());
		awaitEvacuatedDomains(1);
		stopAll();
		List<CompletableFuture<Void>> starts = SEEDS.stream()
			.map((seed) -> CompletableFuture.runAsync(() -> startAgain(seed)))
			.toList();
		for (CompletableFuture<Void> started : starts) {
			started.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
		}
		awaitEvacuatedDomains(1);
		retryUntilSuccess(() -> this.running.get(SEEDS.get(0)).evacuate("a", false));
		awaitEvacuatedDomains(0);
		stop(SEEDS.get(1));
		stop(SEEDS.get(2));
		assertThat(failureCode(this.running.get(SEEDS.get(0)).evacuate("a", true)), not(ResultCode.RECORD_UNKNOWN));
	}

	private void startAgain(String host) {
		try {
			start(host, false);
		}
		catch (ServiceException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/** Two processes that grant at the same time would exceed the bound of the target. */
	@Test
	void permitsForAColdTargetComeFromTheLeaderAloneThroughAnyProcess() throws Exception {
		formSystem();
		RoutingTable table = new RoutingTable(2, List.of(),
				Map.of("pool", new Pool("pool", 10, 4, List.of(), 3_000, 11)), List.of(),
				new CallerLimits(1024, 1024, 1_000, 1_000));
		retryUntilSuccess(
				() -> this.running.get(SEEDS.get(0)).propose(new Command.ReplaceTable(table, new byte[] { 2 })));
		TargetNotice notice = new TargetNotice("t", 1, 1, "pool", "10.0.0.1:1", "a", TargetNotice.State.READY, 4,
				Map.of(), 60_000);
		for (String seed : SEEDS) {
			this.running.get(seed).directory().announce(notice);
		}
		List<Integer> granted = new ArrayList<>();
		awaitCondition(() -> {
			granted.clear();
			for (String seed : SEEDS) {
				granted.add(granted(seed, 6, false));
			}
			return granted.equals(List.of(6, 5, 0));
		});
		List<String> leaders = SEEDS.stream().filter((seed) -> this.running.get(seed).leaseTerm().isPresent()).toList();
		for (String seed : SEEDS) {
			assertThat(granted(seed, 1, true), is(leaders.contains(seed) ? 0 : NOT_GRANTED));
		}
		stop(leaders.get(0));
		String other = this.running.keySet().iterator().next();
		awaitCondition(() -> granted(other, 1, false) != NOT_GRANTED);
		assertThat("the first window of a new leader", granted(other, 1, false), is(0));
		awaitCondition(() -> granted(other, 1, false) == 1);
	}

	/**
	 * Returns the number of permits that a process grants, or NOT_GRANTED if it fails.
	 */
	private int granted(String host, int count, boolean forwarded) throws Exception {
		CompletableFuture<Message> answer = new CompletableFuture<>();
		this.running.get(host)
			.onRequest(null, new Message.ColdPermitRequest("t", 1, count, forwarded), new Responder() {

				@Override
				public void onCancel(Runnable action) {
					// The test does not cancel.
				}

				@Override
				public CompletableFuture<Void> respond(Message message, boolean last) {
					answer.complete(message);
					return CompletableFuture.completedFuture(null);
				}

			});
		return (answer.get(TIMEOUT_MS, TimeUnit.MILLISECONDS) instanceof Message.ColdPermits permits) ? permits.count()
				: NOT_GRANTED;
	}

	private static ResultCode failureCode(CompletableFuture<Void> result) throws Exception {
		try {
			result.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
		}
		catch (ExecutionException ex) {
			return ((ServiceException) ex.getCause()).code();
		}
		throw new AssertionError("the call succeeded");
	}

	private void deleteFolder(String host) throws IOException {
		try (var files = Files.walk(this.folder.resolve(host))) {
			for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(path);
			}
		}
	}

	/** A call that is retried until it succeeds. */
	private interface Call<T> {

		CompletableFuture<T> call() throws Exception;

	}

	/** A condition that is polled until it holds. */
	private interface Condition {

		boolean holds() throws Exception;

	}

}

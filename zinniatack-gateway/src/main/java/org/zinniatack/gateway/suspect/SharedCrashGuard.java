package org.zinniatack.gateway.suspect;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.RequestIdentity;
import org.zinniatack.core.state.SuspectedRequests;
import org.zinniatack.core.state.SuspectedRequests.Standing;
import org.zinniatack.core.state.Suspicion;
import org.zinniatack.gateway.call.CrashGuard;
import org.zinniatack.wire.Message;

/**
 * Combines what this entry has seen of requests that may crash targets with what control
 * has learned from all entries. The policy is that of {@link SuspectedRequests}. All
 * methods must be called on the event loop.
 */
public final class SharedCrashGuard implements CrashGuard {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	/**
	 * The pause before a request that another one is being tried for may come again; also
	 * the shortest time between two of this entry's requests for the same trial.
	 */
	private static final long TRIAL_RETRY_MS = 1_000;

	private static final int MINIMUM_HASHES = 1_024;

	private final LongSupplier nowMs;

	private final LongSupplier wallClockMs;

	private final Predicate<TargetNotice> isLeaving;

	private final Predicate<TargetNotice> mayProbe;

	private final EndedTargets endedTargets;

	private final LossReports reports;

	private final SuspectedRequests own = new SuspectedRequests();

	/** The requests that control knows, with the times at which it told them. */
	private SuspectedRequests shared = new SuspectedRequests();

	/** The same requests as control told them. */
	private Message.Suspects told = Message.Suspects.NONE;

	/** All known requests, or null after a change. */
	private @Nullable SuspectedRequests known;

	private Set<Integer> knownHashes = Set.of();

	/** The number of hashes at which they are collected anew. */
	private int maximumHashes = MINIMUM_HASHES;

	private final EventLoop loop;

	private final Function<Command, CompletableFuture<?>> proposer;

	/** When this entry last asked for the trials of released requests. */
	private final Map<String, Long> trialAtMsByDigest = new HashMap<>();

	/**
	 * Creates a guard that suspects no request.
	 * @param loop the event loop
	 * @param proposer sends a command to control
	 * @param isLeaving returns whether a target has said that it will end
	 * @param nowMs returns the monotonic time, in milliseconds; the quarantines are
	 * measured by it, since the clocks of other VMs may differ
	 * @param wallClockMs returns the time of a report, in milliseconds since the epoch
	 */
	public SharedCrashGuard(EventLoop loop, Function<Command, CompletableFuture<?>> proposer,
			Predicate<TargetNotice> isLeaving, LongSupplier nowMs, LongSupplier wallClockMs) {
		this(loop, proposer, isLeaving, (target) -> true, nowMs, wallClockMs);
	}

	/**
	 * Creates a guard that suspects no request and connects only to some targets.
	 * @param loop the event loop
	 * @param proposer sends a command to control
	 * @param isLeaving returns whether a target has said that it will end
	 * @param mayProbe returns whether a target that lost a connection may be connected to
	 * to find out whether it ended; otherwise only its next start shows that
	 * @param nowMs returns the monotonic time, in milliseconds; the quarantines are
	 * measured by it, since the clocks of other VMs may differ
	 * @param wallClockMs returns the time of a report, in milliseconds since the epoch
	 */
	public SharedCrashGuard(EventLoop loop, Function<Command, CompletableFuture<?>> proposer,
			Predicate<TargetNotice> isLeaving, Predicate<TargetNotice> mayProbe, LongSupplier nowMs,
			LongSupplier wallClockMs) {
		this.loop = loop;
		this.proposer = proposer;
		this.nowMs = nowMs;
		this.wallClockMs = wallClockMs;
		this.isLeaving = isLeaving;
		this.mayProbe = mayProbe;
		this.endedTargets = new EndedTargets(loop, this::onLost);
		this.reports = new LossReports(loop, proposer);
	}

	/**
	 * Accepts what control knows.
	 * @param suspects the requests
	 */
	public void accept(Message.Suspects suspects) {
		if (suspects.index() < this.told.index()) {
			return;
		}
		SuspectedRequests newest = withOwnTimes(suspects);
		for (Suspicion before : this.shared.all()) {
			if (newest.suspicion(before.digest()).isEmpty()) {
				logForgotten(before.digest(), "control", "");
				this.own.remove(before.digest());
				this.known = null;
			}
		}
		Map<String, Standing> standings = standings(newest);
		this.told = suspects;
		this.shared = newest;
		this.known = null;
		newest.all().forEach((suspicion) -> logChange(suspicion.digest(), standings, "control"));
	}

	/** Dates what is new by the own clock; what was told before keeps its date. */
	private SuspectedRequests withOwnTimes(Message.Suspects suspects) {
		Set<Suspicion> toldBefore = new HashSet<>(this.told.requests());
		long toldAtMs = this.nowMs.getAsLong();
		SuspectedRequests dated = new SuspectedRequests();
		for (Suspicion suspicion : suspects.requests()) {
			dated.add(this.shared.suspicion(suspicion.digest())
				.filter((known) -> toldBefore.contains(suspicion))
				.orElseGet(() -> suspicion.at(toldAtMs)));
		}
		return dated;
	}

	private Map<String, Standing> standings(SuspectedRequests requests) {
		Map<String, Standing> standings = new HashMap<>();
		long timeMs = this.nowMs.getAsLong();
		requests.all()
			.forEach((suspicion) -> standings.put(suspicion.digest(), known().standing(suspicion.digest(), timeMs)));
		return standings;
	}

	private void logChange(String digest, Map<String, Standing> before, String source) {
		Standing standing = known().standing(digest, this.nowMs.getAsLong());
		Standing previous = before.getOrDefault(digest, Standing.CLEAR);
		if (standing == previous || (standing != Standing.SUSPECT && standing != Standing.QUARANTINED)) {
			return;
		}
		List<String> targets = known().suspicion(digest).map(Suspicion::targets).orElse(List.of());
		LOGGER.atInfo()
			.log("event=%s fingerprint=%s count=%d targets=%s source=%s",
					(standing == Standing.SUSPECT) ? "request_suspected" : "request_quarantined",
					RequestIdentity.abbreviated(digest), targets.size(), targets, source);
	}

	/** Logs that a request is no longer suspected. */
	private void logForgotten(String digest, String source, String requestId) {
		int count = endedTargets(digest);
		if (count > 1) {
			LOGGER.atInfo()
				.log("event=request_forgotten fingerprint=%s count=%d source=%s request=%s",
						RequestIdentity.abbreviated(digest), count, source, requestId);
		}
	}

	private int endedTargets(String digest) {
		return known().suspicion(digest).map((suspicion) -> suspicion.targets().size()).orElse(0);
	}

	@Override
	public int endedTargets(RequestIdentity request) {
		return knownDigests(request).stream().mapToInt(this::endedTargets).max().orElse(0);
	}

	/**
	 * Records that a target has started.
	 * @param target the notice of the target
	 */
	public void targetStarted(TargetNotice target) {
		this.endedTargets.targetStarted(target);
	}

	private SuspectedRequests known() {
		SuspectedRequests current = this.known;
		if (current == null) {
			current = SuspectedRequests.of(this.shared.all());
			this.own.all().forEach(current::add);
			this.known = current;
			Set<Integer> hashes = new HashSet<>();
			current.all().forEach((suspicion) -> hashes.add(RequestIdentity.hashOf(suspicion.digest())));
			this.endedTargets.digests().forEach((digest) -> hashes.add(RequestIdentity.hashOf(digest)));
			this.knownHashes = hashes;
		}
		return current;
	}

	/** Returns the digests of a request if it may be known. */
	private List<String> knownDigests(RequestIdentity request) {
		known();
		boolean maybeKnown = !this.knownHashes.isEmpty() && this.knownHashes.contains(request.hash());
		return maybeKnown ? request.digests() : List.of();
	}

	@Override
	public Standing standing(RequestIdentity request) {
		return worstDigest(request).map((digest) -> known().standing(digest, this.nowMs.getAsLong()))
			.orElse(Standing.CLEAR);
	}

	/** Returns the digest under which a request is the most restricted. */
	private Optional<String> worstDigest(RequestIdentity request) {
		long timeMs = this.nowMs.getAsLong();
		return knownDigests(request).stream().max(Comparator.comparing((digest) -> known().standing(digest, timeMs)));
	}

	@Override
	public void requestTrial(RequestIdentity request, Consumer<Boolean> decision) {
		long timeMs = this.nowMs.getAsLong();
		String digest = worstDigest(request).orElseGet(request::digest);
		this.trialAtMsByDigest.values().removeIf((askedAtMs) -> timeMs - askedAtMs >= TRIAL_RETRY_MS);
		if (this.trialAtMsByDigest.putIfAbsent(digest, timeMs) != null) {
			decision.accept(false);
			return;
		}
		this.proposer.apply(Command.ReportCrash.ofTrial(digest, this.wallClockMs.getAsLong()))
			.whenComplete((reply, failure) -> this.loop.execute(() -> {
				LOGGER.atInfo()
					.log("event=request_tried fingerprint=%s granted=%s detail=\"%s\"",
							RequestIdentity.abbreviated(digest), failure == null,
							(failure != null) ? failure.getMessage() : "");
				decision.accept(failure == null);
			}));
	}

	@Override
	public long retryAfterMs(RequestIdentity request) {
		long timeMs = this.nowMs.getAsLong();
		return knownDigests(request).stream()
			.flatMap((digest) -> known().suspicion(digest).stream())
			.mapToLong((suspicion) -> SuspectedRequests.quarantineEndMs(suspicion) - timeMs)
			.reduce(TRIAL_RETRY_MS, Math::max);
	}

	@Override
	public void connectionLost(RequestIdentity request, TargetNotice target) {
		addCase(request, target,
				this.mayProbe.test(target) ? this.endedTargets::connectionLost : this.endedTargets::givenUp);
	}

	@Override
	public void givenUp(RequestIdentity request, TargetNotice target) {
		addCase(request, target, this.endedTargets::givenUp);
	}

	private void addCase(RequestIdentity request, TargetNotice target, BiConsumer<String, TargetNotice> cases) {
		if (!this.isLeaving.test(target)) {
			known();
			request.digests().forEach((digest) -> cases.accept(digest, target));
			this.knownHashes.add(request.hash());
			forgetOldHashes();
		}
	}

	/** Collects the hashes anew once half of them may belong to forgotten requests. */
	private void forgetOldHashes() {
		if (this.knownHashes.size() >= this.maximumHashes) {
			this.known = null;
			known();
			this.maximumHashes = Math.max(MINIMUM_HASHES, 2 * this.knownHashes.size());
		}
	}

	/** Returns the number of hashes by which requests may be known. */
	int hashCount() {
		return this.knownHashes.size();
	}

	@Override
	public void responded(TargetNotice target) {
		this.endedTargets.responded(target);
	}

	private void onLost(String digest, String targetStart) {
		Map<String, Standing> before = Map.of(digest, known().standing(digest, this.nowMs.getAsLong()));
		this.own.add(new Suspicion(digest, List.of(targetStart), this.nowMs.getAsLong()));
		this.known = null;
		this.reports.addLoss(new Suspicion(digest, List.of(targetStart), this.wallClockMs.getAsLong()));
		logChange(digest, before, "own");
	}

	/**
	 * Forgets a request, and what was known of it with this caller. What is known with
	 * other callers stays: targets may end under theirs alone.
	 */
	@Override
	public void answered(RequestIdentity request, String requestId) {
		for (String digest : knownDigests(request)) {
			this.endedTargets.answered(digest);
			logForgotten(digest, "answer", requestId);
			boolean wasKnown = this.own.remove(digest) | this.shared.remove(digest);
			if (wasKnown) {
				this.reports.addAnswer(digest);
				this.known = null;
			}
		}
	}

}

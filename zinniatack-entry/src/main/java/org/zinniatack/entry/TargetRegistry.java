package org.zinniatack.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import org.zinniatack.core.routing.Router;
import org.zinniatack.wire.Peer;

/**
 * Holds the targets that have announced themselves to this entry, and one router for each
 * pool.
 */
final class TargetRegistry {

	private final Supplier<Router<TargetLink>> routerFactory;

	private final Map<String, TargetLink> targets = new HashMap<>();

	private final Map<String, Router<TargetLink>> routersByPool = new HashMap<>();

	TargetRegistry(Supplier<Router<TargetLink>> routerFactory) {
		this.routerFactory = routerFactory;
	}

	void add(TargetLink target) {
		this.targets.put(target.targetId(), target);
		updateRouter(target.announce().pool());
	}

	Collection<TargetLink> all() {
		return List.copyOf(this.targets.values());
	}

	Optional<TargetLink> findByPeer(Peer peer) {
		return this.targets.values().stream().filter((target) -> target.peer() == peer).findFirst();
	}

	List<TargetLink> targetsIn(String pool) {
		return this.targets.values().stream().filter((target) -> target.announce().pool().equals(pool)).toList();
	}

	void remove(TargetLink target) {
		if (this.targets.remove(target.targetId(), target)) {
			updateRouter(target.announce().pool());
		}
	}

	/**
	 * Chooses a target for a request. A suspect gets an idle target only, and one that
	 * has text a target of the software version that generated it.
	 */
	Optional<TargetLink> choose(CallerRequest request) {
		String pool = request.call().route().pool();
		if (request.isSuspect()) {
			return targetsIn(pool).stream().filter((target) -> target.isIdle() && request.mayRunAt(target)).findFirst();
		}
		if (request.needsSoftwareVersion()) {
			return targetsIn(pool).stream()
				.filter((target) -> target.isAvailable() && request.mayRunAt(target))
				.min(Comparator.comparingDouble(TargetLink::load).thenComparing(TargetLink::targetId));
		}
		return Optional.ofNullable(this.routersByPool.get(pool))
			.flatMap((router) -> router.choose(request.call().prefixHash()));
	}

	/**
	 * Returns whether a pool has targets and none of them, usable or not, can run a
	 * request.
	 */
	boolean hasOnlyOtherSoftware(CallerRequest request) {
		List<TargetLink> targets = targetsIn(request.call().route().pool());
		return !targets.isEmpty() && targets.stream().noneMatch(request::mayRunAt);
	}

	/** Returns the number of requests that a pool can start now. */
	int freeSlots(String pool) {
		return targetsIn(pool).stream().mapToInt(TargetLink::freeSlots).sum();
	}

	/** Returns the number of requests that a pool can run concurrently. */
	int usableSlotCount(String pool) {
		return targetsIn(pool).stream()
			.filter(TargetLink::isUsable)
			.mapToInt((target) -> target.announce().slotCount())
			.sum();
	}

	private void updateRouter(String pool) {
		List<TargetLink> members = new ArrayList<>(targetsIn(pool));
		members.sort(Comparator.comparing(TargetLink::targetId));
		this.routersByPool.computeIfAbsent(pool, (absent) -> this.routerFactory.get()).updateTargets(members);
	}

}

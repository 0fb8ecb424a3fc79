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
 * The targets that have announced themselves to this entry, by pool.
 */
final class Fleet {

	private final Supplier<Router<TargetLink>> routers;

	private final Map<String, TargetLink> targets = new HashMap<>();

	private final Map<String, Router<TargetLink>> routersByPool = new HashMap<>();

	Fleet(Supplier<Router<TargetLink>> routers) {
		this.routers = routers;
	}

	void add(TargetLink target) {
		this.targets.put(target.targetId(), target);
		refresh(target.announce().pool());
	}

	Collection<TargetLink> all() {
		return List.copyOf(this.targets.values());
	}

	Optional<TargetLink> of(Peer peer) {
		return this.targets.values().stream().filter((target) -> target.peer() == peer).findFirst();
	}

	List<TargetLink> pool(String pool) {
		return this.targets.values().stream().filter((target) -> target.announce().pool().equals(pool)).toList();
	}

	void remove(TargetLink target) {
		if (this.targets.remove(target.targetId(), target)) {
			refresh(target.announce().pool());
		}
	}

	/**
	 * Chooses a target for a request, one without other work if the request is a suspect.
	 */
	Optional<TargetLink> choose(CallerRequest request) {
		String pool = request.call().route().pool();
		if (request.isSuspect()) {
			return pool(pool).stream().filter(TargetLink::isIdle).findFirst();
		}
		return Optional.ofNullable(this.routersByPool.get(pool))
			.flatMap((router) -> router.choose(request.call().prefixHash()));
	}

	/** Returns the requests that a pool can start now. */
	int room(String pool) {
		return pool(pool).stream().mapToInt(TargetLink::room).sum();
	}

	/** Returns the requests that a pool can run at once. */
	int slots(String pool) {
		return pool(pool).stream()
			.filter(TargetLink::isUsable)
			.mapToInt((target) -> target.announce().slotCount())
			.sum();
	}

	private void refresh(String pool) {
		List<TargetLink> members = new ArrayList<>(pool(pool));
		members.sort(Comparator.comparing(TargetLink::targetId));
		this.routersByPool.computeIfAbsent(pool, (absent) -> this.routers.get()).updateTargets(members);
	}

}

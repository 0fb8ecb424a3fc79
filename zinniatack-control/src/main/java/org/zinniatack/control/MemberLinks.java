package org.zinniatack.control;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import org.zinniatack.core.consensus.Membership;
import org.zinniatack.process.ReconnectingLink;
import org.zinniatack.wire.Peer;
import org.zinniatack.wire.PeerNetwork;

/**
 * Keeps connections to the other control processes according to the membership.
 */
final class MemberLinks {

	private final PeerNetwork network;

	private final ControlMembers members;

	private final Consumer<Peer> onOpened;

	private final Map<String, ReconnectingLink> linksByName = new ConcurrentHashMap<>();

	MemberLinks(PeerNetwork network, ControlMembers members, Consumer<Peer> onOpened) {
		this.network = network;
		this.members = members;
		this.onOpened = onOpened;
	}

	/** Connects to new members and disconnects from those that have left. */
	void update(Membership membership) {
		Map<String, String> addresses = this.members.otherAddresses(membership);
		addresses.forEach((name, address) -> this.linksByName.computeIfAbsent(name, (absent) -> {
			ReconnectingLink link = new ReconnectingLink(this.network, address, this.onOpened);
			link.open();
			return link;
		}));
		this.linksByName.entrySet().removeIf((entry) -> {
			boolean hasLeft = !addresses.containsKey(entry.getKey());
			if (hasLeft) {
				entry.getValue().close();
			}
			return hasLeft;
		});
	}

	Set<String> names() {
		return Set.copyOf(this.linksByName.keySet());
	}

	Collection<ReconnectingLink> links() {
		return List.copyOf(this.linksByName.values());
	}

	Optional<Peer> peer(String name) {
		return Optional.ofNullable(this.linksByName.get(name)).flatMap(ReconnectingLink::peer);
	}

	List<Peer> peers() {
		return this.linksByName.values().stream().flatMap((link) -> link.peer().stream()).toList();
	}

	void close() {
		this.linksByName.values().forEach(ReconnectingLink::close);
	}

}

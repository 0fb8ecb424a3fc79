package org.zinniatack.core.routing;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Hash functions with the same results in every process.
 */
public final class Hashing {

	private static final long FNV_OFFSET = 0xCBF29CE484222325L;

	private static final long FNV_PRIME = 0x100000001B3L;

	private Hashing() {
	}

	/**
	 * Returns the FNV-1a hash of the UTF-8 bytes of a text, with a final mix.
	 * @param text the text
	 * @return the hash
	 */
	public static long of(String text) {
		long hash = FNV_OFFSET;
		for (byte next : text.getBytes(StandardCharsets.UTF_8)) {
			hash = (hash ^ (next & 0xFF)) * FNV_PRIME;
		}
		return mix(hash);
	}

	/**
	 * Combines two hashes into one; the order matters.
	 * @param first the first
	 * @param second the second
	 * @return the hash
	 */
	public static long combine(long first, long second) {
		return mix(first * FNV_PRIME + second);
	}

	/**
	 * Chooses nodes by rendezvous hashing: when a node is removed, only the keys that
	 * were assigned to it move.
	 * @param key the key
	 * @param nodes the nodes
	 * @param count the number of nodes to choose
	 * @return the chosen nodes, best first
	 */
	public static List<String> rendezvous(String key, Collection<String> nodes, int count) {
		long keyHash = of(key);
		return nodes.stream()
			.sorted(Comparator.<String>comparingLong((node) -> combine(of(node), keyHash)).reversed())
			.limit(count)
			.toList();
	}

	private static long mix(long hash) {
		long mixed = (hash ^ (hash >>> 33)) * 0xFF51AFD7ED558CCDL;
		mixed = (mixed ^ (mixed >>> 33)) * 0xC4CEB9FE1A85EC53L;
		return mixed ^ (mixed >>> 33);
	}

}

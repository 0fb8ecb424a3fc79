package org.zinniatack.control;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.zinniatack.core.consensus.Membership;
import org.zinniatack.core.membership.MemberChange;

/**
 * Who the control processes are and where.
 */
interface ControlMembers {

	/** Returns the name of this process among the members. */
	String ownName();

	/** Returns whether this process may found the system. */
	boolean isFounder();

	/** Returns the largest number of voters. */
	int maximumVoters();

	/** Returns the addresses of the other processes by name. */
	Map<String, String> others(Membership membership);

	/** Returns the addresses of all processes, this one among them if it is a member. */
	List<String> addresses(Membership membership);

	/** Returns members that stand in the settings with their names. */
	static ControlMembers named(String ownName, Map<String, String> addresses) {
		return new Named(ownName, addresses);
	}

	/**
	 * Returns members of which only some addresses are known at first. A process is named
	 * by its address, so the membership tells the others'.
	 */
	static ControlMembers seeded(String ownAddress, List<String> seeds, boolean firstStart, int voterCount) {
		return new Seeded(ownAddress, Set.copyOf(seeds), firstStart, voterCount);
	}

	/**
	 * Members that stand in the settings.
	 *
	 * @param ownName the name of this process
	 * @param byName the addresses of all processes by name
	 */
	record Named(String ownName, Map<String, String> byName) implements ControlMembers {

		@Override
		public boolean isFounder() {
			return true;
		}

		@Override
		public int maximumVoters() {
			return this.byName.size();
		}

		@Override
		public Map<String, String> others(Membership membership) {
			Map<String, String> others = new TreeMap<>(this.byName);
			others.remove(this.ownName);
			return others;
		}

		@Override
		public List<String> addresses(Membership membership) {
			return List.copyOf(this.byName.values());
		}

	}

	/**
	 * Members that are named by their addresses.
	 *
	 * @param ownName the address of this process
	 * @param seeds the addresses that the settings name
	 * @param firstStart true if the system has never run
	 * @param maximumVoters the largest number of voters
	 */
	record Seeded(String ownName, Set<String> seeds, boolean firstStart, int maximumVoters) implements ControlMembers {

		@Override
		public boolean isFounder() {
			return this.firstStart && this.seeds.contains(this.ownName);
		}

		@Override
		public Map<String, String> others(Membership membership) {
			Set<String> names = new TreeSet<>(this.seeds);
			membership.all().forEach((id) -> names.add(MemberChange.nameOf(id)));
			names.remove(this.ownName);
			Map<String, String> others = new TreeMap<>();
			names.forEach((name) -> others.put(name, name));
			return others;
		}

		@Override
		public List<String> addresses(Membership membership) {
			return membership.all().stream().map(MemberChange::nameOf).distinct().toList();
		}

	}

}

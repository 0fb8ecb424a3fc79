package org.zinniatack.control;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.zinniatack.core.consensus.Membership;
import org.zinniatack.core.membership.MemberChange;

/**
 * The names and addresses of the control processes.
 */
interface ControlMembers {

	/** Returns the name of this process among the members. */
	String ownName();

	/**
	 * Returns the processes that this one may form the system with at this start, itself
	 * included, if a later start is not told that it may. Empty if there are none.
	 */
	Set<String> foundersToRemember();

	/**
	 * Returns whether this process may form the system together with the others.
	 * @param remembered the result of {@link #foundersToRemember} at an earlier start,
	 * empty for none
	 */
	boolean isFounder(Set<String> remembered);

	/** Returns the largest number of voters. */
	int maximumVoters();

	/** Returns the addresses of the other control processes by name. */
	Map<String, String> otherAddresses(Membership membership);

	/** Returns the addresses of all processes, including this one if it is a member. */
	List<String> addresses(Membership membership);

	/** Returns members whose names and addresses are all in the settings. */
	static ControlMembers named(String ownName, Map<String, String> addresses) {
		return new Named(ownName, addresses);
	}

	/**
	 * Returns members of which only the seed addresses are known at first. The name of a
	 * process is its address, so the membership provides the other addresses.
	 */
	static ControlMembers seeded(String ownAddress, List<String> seeds, boolean firstStart, int voterCount) {
		return new Seeded(ownAddress, Set.copyOf(seeds), firstStart, voterCount);
	}

	/**
	 * Members whose names and addresses are in the settings.
	 *
	 * @param ownName the name of this process
	 * @param addressesByName the addresses of all processes by name
	 */
	record Named(String ownName, Map<String, String> addressesByName) implements ControlMembers {

		@Override
		public Set<String> foundersToRemember() {
			return Set.of();
		}

		@Override
		public boolean isFounder(Set<String> remembered) {
			return true;
		}

		@Override
		public int maximumVoters() {
			return this.addressesByName.size();
		}

		@Override
		public Map<String, String> otherAddresses(Membership membership) {
			Map<String, String> others = new TreeMap<>(this.addressesByName);
			others.remove(this.ownName);
			return others;
		}

		@Override
		public List<String> addresses(Membership membership) {
			return List.copyOf(this.addressesByName.values());
		}

	}

	/**
	 * Members whose names are their addresses.
	 *
	 * @param ownName the address of this process
	 * @param seeds the seed addresses from the settings
	 * @param firstStart true if the system has never run
	 * @param maximumVoters the largest number of voters
	 */
	record Seeded(String ownName, Set<String> seeds, boolean firstStart, int maximumVoters) implements ControlMembers {

		@Override
		public Set<String> foundersToRemember() {
			return (this.firstStart && this.seeds.contains(this.ownName)) ? this.seeds : Set.of();
		}

		/**
		 * Other seeds than at the first start may have taken the place of its members.
		 */
		@Override
		public boolean isFounder(Set<String> remembered) {
			return this.seeds.contains(this.ownName) && (this.firstStart || this.seeds.equals(remembered));
		}

		@Override
		public Map<String, String> otherAddresses(Membership membership) {
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

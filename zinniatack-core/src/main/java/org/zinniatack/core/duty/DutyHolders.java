package org.zinniatack.core.duty;

import java.util.ArrayList;
import java.util.List;

/**
 * The processes that may have acted as leader lately, in the order in which they last
 * became the holder of the duties. A process is recorded before it acts, so one that is
 * not listed has not acted lately.
 *
 * @param names the names of the processes, the present holder last
 */
public record DutyHolders(List<String> names) {

	/**
	 * Copies the names.
	 */
	public DutyHolders {
		names = List.copyOf(names);
	}

	/**
	 * Returns the holders of a system in which no process has acted.
	 * @return no holders
	 */
	public static DutyHolders none() {
		return new DutyHolders(List.of());
	}

	/**
	 * Applies a claim.
	 * @param claim the claim
	 * @return the holders from then on
	 */
	public DutyHolders with(DutyClaim claim) {
		if (claim.sole()) {
			return isPresent(claim.holder()) ? new DutyHolders(List.of(claim.holder())) : this;
		}
		List<String> changed = new ArrayList<>(this.names);
		changed.remove(claim.holder());
		changed.add(claim.holder());
		return new DutyHolders(changed);
	}

	/**
	 * Returns whether a process is the present holder.
	 * @param name the name of the process
	 * @return true if no other process can have acted since it last became the holder
	 */
	public boolean isPresent(String name) {
		return !this.names.isEmpty() && this.names.get(this.names.size() - 1).equals(name);
	}

	/**
	 * Returns whether another process became the holder after a process.
	 * @param name the name of the process
	 * @return true if both may have acted lately, the other after it
	 */
	public boolean isReplaced(String name) {
		return this.names.contains(name) && !isPresent(name);
	}

}

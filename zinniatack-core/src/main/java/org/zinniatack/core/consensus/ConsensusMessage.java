package org.zinniatack.core.consensus;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A Raft message between two replicas of the same log.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({ @JsonSubTypes.Type(value = ConsensusMessage.VoteRequest.class, name = "vq"),
		@JsonSubTypes.Type(value = ConsensusMessage.VoteResponse.class, name = "vr"),
		@JsonSubTypes.Type(value = ConsensusMessage.AppendRequest.class, name = "aq"),
		@JsonSubTypes.Type(value = ConsensusMessage.AppendResponse.class, name = "ar"),
		@JsonSubTypes.Type(value = ConsensusMessage.SnapshotPart.class, name = "sp"),
		@JsonSubTypes.Type(value = ConsensusMessage.SnapshotPartResponse.class, name = "sr"),
		@JsonSubTypes.Type(value = ConsensusMessage.TransferRequest.class, name = "tq") })
public sealed interface ConsensusMessage {

	/**
	 * Returns the sender.
	 * @return the id of the sending replica
	 */
	String from();

	/**
	 * Returns the sender's term.
	 * @return the term
	 */
	long term();

	/**
	 * Returns the receiver.
	 * @return the id of the receiving replica
	 */
	String to();

	/**
	 * Asks for a vote.
	 *
	 * @param from the candidate
	 * @param to the voter
	 * @param term the term that the candidate wants to lead
	 * @param lastIndex the index of the candidate's last entry
	 * @param lastTerm the term of the candidate's last entry
	 * @param preVote true if the candidate only asks whether it would be elected
	 * @param transfer true if the leader started the election by a leadership transfer
	 */
	record VoteRequest(String from, String to, long term, long lastIndex, long lastTerm, boolean preVote,
			boolean transfer) implements ConsensusMessage {
	}

	/**
	 * Answers a vote request.
	 *
	 * @param from the voter
	 * @param to the candidate
	 * @param term the voter's term, or the requested term for a granted pre-vote
	 * @param preVote true if the request was a pre-vote
	 * @param granted true if the vote is granted
	 */
	record VoteResponse(String from, String to, long term, boolean preVote,
			boolean granted) implements ConsensusMessage {
	}

	/**
	 * Replicates entries, or serves as a heartbeat if there are none.
	 *
	 * @param from the leader
	 * @param to the follower
	 * @param term the leader's term
	 * @param previousIndex the index before the first entry
	 * @param previousTerm the term of the entry before the first
	 * @param entries the entries
	 * @param commitIndex the leader's commit index
	 * @param sentAtMs the leader's clock when sending, in milliseconds
	 */
	record AppendRequest(String from, String to, long term, long previousIndex, long previousTerm,
			List<LogEntry> entries, long commitIndex, long sentAtMs) implements ConsensusMessage {
	}

	/**
	 * Answers an append request or the last part of a snapshot.
	 *
	 * @param from the follower
	 * @param to the leader
	 * @param term the follower's term
	 * @param success true if the follower's log matches the leader's up to the match
	 * index
	 * @param matchIndex the last matching index, or on rejection a hint for the next
	 * attempt
	 * @param rejectedIndex the previous index of a rejected request, 0 on success
	 * @param sentAtMs the sending time from the request, in milliseconds
	 */
	record AppendResponse(String from, String to, long term, boolean success, long matchIndex, long rejectedIndex,
			long sentAtMs) implements ConsensusMessage {
	}

	/**
	 * Sends a part of a snapshot to a follower whose next entries the leader has
	 * compacted. A part without bytes serves as a heartbeat.
	 *
	 * @param from the leader
	 * @param to the follower
	 * @param term the leader's term
	 * @param snapshot the snapshot
	 * @param offset the position of the part in the encoded state, in bytes
	 * @param length the size of the part, in bytes
	 * @param bytes the part, which the owner of the leader reads from its disk
	 * @param sentAtMs the leader's clock when sending, in milliseconds
	 */
	record SnapshotPart(String from, String to, long term, Snapshot snapshot, long offset, int length, byte[] bytes,
			long sentAtMs) implements ConsensusMessage {

		/**
		 * Returns the message with the bytes of the part.
		 * @param read the bytes that were read from the disk
		 * @return the message to send
		 */
		public SnapshotPart withBytes(byte[] read) {
			return new SnapshotPart(this.from, this.to, this.term, this.snapshot, this.offset, this.length, read,
					this.sentAtMs);
		}

	}

	/**
	 * Answers a part that does not complete its snapshot.
	 *
	 * @param from the follower
	 * @param to the leader
	 * @param term the follower's term
	 * @param snapshotIndex the index of the snapshot
	 * @param receivedBytes the size of what the follower holds of the snapshot, in bytes
	 * @param sentAtMs the sending time from the part, in milliseconds
	 */
	record SnapshotPartResponse(String from, String to, long term, long snapshotIndex, long receivedBytes,
			long sentAtMs) implements ConsensusMessage {
	}

	/**
	 * Asks a caught-up follower to start an election at once, like Raft's TimeoutNow.
	 *
	 * @param from the leader
	 * @param to the follower
	 * @param term the leader's term
	 */
	record TransferRequest(String from, String to, long term) implements ConsensusMessage {
	}

}

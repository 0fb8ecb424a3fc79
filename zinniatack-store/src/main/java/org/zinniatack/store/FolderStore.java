package org.zinniatack.store;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

import com.google.common.flogger.FluentLogger;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.consensus.ConsensusMessage;
import org.zinniatack.core.consensus.Effects;
import org.zinniatack.core.consensus.HardState;
import org.zinniatack.core.consensus.LogEntry;
import org.zinniatack.core.consensus.Membership;
import org.zinniatack.core.consensus.PersistentState;
import org.zinniatack.core.consensus.Snapshot;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Stores a replica's state in a folder with the files {@code identity}, {@code founders},
 * {@code lock}, {@code snapshot-INDEX} and {@code journal-NUMBER}. Snapshots and new
 * journals are written to a temporary file, synced and atomically renamed. A new journal
 * begins with each snapshot, so that none is written anew behind it; while a snapshot is
 * written there are several.
 */
final class FolderStore implements ReplicaStore {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final String FORMAT_VERSION = "1";

	private static final String FOUNDERS_FILE = "founders";

	private static final String JOURNAL_PREFIX = "journal-";

	private static final String SNAPSHOT_PREFIX = "snapshot-";

	private static final String RECEIVED_PREFIX = "received-";

	private static final String TEMPORARY_SUFFIX = ".tmp";

	private static final int INCARNATION_BYTES = 6;

	private final Path folder;

	private final FolderLock lock;

	private final Journal.Factory journalFactory;

	private final String replicaId;

	private HardState hardState = HardState.initial();

	private Journal journal;

	private long journalNumber;

	/** The lengths of the journals by their numbers, in bytes. */
	private final NavigableMap<Long, Long> journalBytes = new TreeMap<>();

	/** The index and term of the last entry, or of the snapshot if there is none. */
	private long lastIndex;

	private long lastTerm;

	/** A journal that may exist though it was not started, or null if there is none. */
	private @Nullable Path unfinishedJournal;

	/** The number of the journal that began with the newest snapshot. */
	private long rolledNumber;

	private @Nullable ReceivedSnapshot received;

	private boolean tornByFailedWrite;

	/** What the folder held when it was opened, until it is loaded or changed. */
	private @Nullable PersistentState recovered;

	/**
	 * The base of the journal to start before the next write, since the present one does
	 * not continue the snapshot; null if it does.
	 */
	private @Nullable Snapshot nextJournalBase;

	private volatile boolean initialized;

	private FolderStore(Path folder, FolderLock lock, Journal.Factory journalFactory, String replicaId)
			throws IOException, ServiceException {
		this.folder = folder;
		this.lock = lock;
		this.journalFactory = journalFactory;
		this.replicaId = replicaId;
		this.journalNumber = newestFile(JOURNAL_PREFIX).map((file) -> numberOf(file, JOURNAL_PREFIX)).orElse(0L);
		this.initialized = this.journalNumber > 0;
		if (this.initialized) {
			this.recovered = recover();
		}
		this.journal = journalFactory.open(journalPath());
	}

	static FolderStore open(Path folder, String replicaName, Journal.Factory journalFactory) throws ServiceException {
		try {
			Files.createDirectories(folder);
			FolderLock lock = FolderLock.acquire(folder);
			try {
				deleteTemporaryFiles(folder);
				return new FolderStore(folder, lock, journalFactory, readOrCreateIdentity(folder, replicaName));
			}
			catch (IOException | ServiceException ex) {
				lock.close();
				throw ex;
			}
		}
		catch (IOException ex) {
			throw ServiceException.of(ResultCode.DISK_FULL,
					"data folder " + folder + " cannot be opened: " + ex.getMessage());
		}
	}

	/** Deletes what a process that ended has left half written. */
	private static void deleteTemporaryFiles(Path folder) throws IOException {
		try (Stream<Path> files = Files.list(folder)) {
			for (Path file : files.filter((path) -> path.toString().endsWith(TEMPORARY_SUFFIX)).toList()) {
				Files.delete(file);
			}
		}
	}

	private static ServiceException diskFailure(IOException cause) {
		return ServiceException.of(ResultCode.DISK_FULL, String.valueOf(cause.getMessage()));
	}

	private static String readOrCreateIdentity(Path folder, String replicaName) throws IOException, ServiceException {
		Path file = folder.resolve("identity");
		if (!Files.exists(file)) {
			byte[] incarnation = new byte[INCARNATION_BYTES];
			new SecureRandom().nextBytes(incarnation);
			String id = replicaName + '.' + HexFormat.of().formatHex(incarnation);
			writeText(folder, file, FORMAT_VERSION + '\n' + id + '\n');
		}
		List<String> lines = Files.readAllLines(file);
		if (lines.size() < 2 || !lines.get(0).equals(FORMAT_VERSION)) {
			throw ServiceException.of(ResultCode.FORMAT_UNKNOWN,
					"file " + file + " does not hold format version " + FORMAT_VERSION + " and a replica id");
		}
		return lines.get(1);
	}

	private static void writeText(Path folder, Path file, String text) throws IOException {
		Path temporaryFile = temporaryFile(file);
		try (FileChannel channel = FileChannel.open(temporaryFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
				StandardOpenOption.TRUNCATE_EXISTING)) {
			ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
			while (bytes.hasRemaining()) {
				channel.write(bytes);
			}
			channel.force(true);
		}
		rename(folder, temporaryFile, file);
	}

	private static Path temporaryFile(Path file) {
		return file.resolveSibling(file.getFileName() + TEMPORARY_SUFFIX);
	}

	private static void rename(Path folder, Path temporaryFile, Path file) throws IOException {
		Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
		syncFolder(folder);
	}

	/**
	 * Writes a file of records under a temporary name and renames it. A file that could
	 * not be finished is deleted, since it may be what fills the disk.
	 * @return the length of the file, in bytes
	 */
	private long writeAtomically(Path file, List<RecordWriter.Payload> payloads) throws IOException {
		Path temporaryFile = temporaryFile(file);
		try {
			Files.deleteIfExists(temporaryFile);
			long lengthBytes;
			try (Journal output = this.journalFactory.open(temporaryFile)) {
				RecordWriter writer = new RecordWriter(output);
				for (RecordWriter.Payload payload : payloads) {
					writer.write(payload);
				}
				lengthBytes = writer.finish();
			}
			rename(this.folder, temporaryFile, file);
			return lengthBytes;
		}
		finally {
			Files.deleteIfExists(temporaryFile);
		}
	}

	private static void syncFolder(Path folder) throws IOException {
		try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
			channel.force(true);
		}
	}

	private PersistentState recover() throws IOException, ServiceException {
		removeUnfinishedJournal();
		JournalReplay replay = new JournalReplay(this.hardState, readSnapshot());
		this.journalBytes.clear();
		for (long number : journalNumbers()) {
			replay(number, replay);
		}
		PersistentState state = replay.state();
		this.hardState = state.hardState();
		this.nextJournalBase = replay.continuesSnapshot() ? null : state.snapshot();
		moveEndTo(state.snapshot().index(), state.snapshot().term());
		moveEndTo(state.entries());
		return state;
	}

	/** Only the last journal may have a torn tail, since the others were synced whole. */
	private void replay(long number, JournalReplay replay) throws IOException, ServiceException {
		Path file = journalPath(number);
		try (RecordReader records = RecordReader.open(file)) {
			for (Optional<InputStream> payload = records.next(); payload.isPresent(); payload = records.next()) {
				replay.add(Batch.decode(payload.get()));
			}
			this.journalBytes.put(number, records.intactLengthBytes());
			if (records.hasMore() && number != this.journalNumber) {
				throw ServiceException.of(ResultCode.LOG_CORRUPT,
						"the record at byte " + records.intactLengthBytes() + " of " + file + " is corrupt");
			}
			if (records.hasMore()) {
				cutTornTail();
			}
		}
	}

	private List<Long> journalNumbers() throws IOException {
		try (Stream<Path> files = Files.list(this.folder)) {
			return files.filter((path) -> isNumbered(path, JOURNAL_PREFIX))
				.map((path) -> numberOf(path, JOURNAL_PREFIX))
				.filter((number) -> number > 0)
				.sorted()
				.toList();
		}
	}

	private void moveEndTo(List<LogEntry> entries) {
		if (!entries.isEmpty()) {
			LogEntry last = entries.get(entries.size() - 1);
			moveEndTo(last.index(), last.term());
		}
	}

	private void moveEndTo(long index, long term) {
		this.lastIndex = index;
		this.lastTerm = term;
	}

	private void cutTornTail() throws IOException {
		long lengthBytes = journalLengthBytes();
		LOGGER.atWarning().log("event=torn_tail_cut file=%s length=%d", journalPath(), lengthBytes);
		try (Journal tornJournal = this.journalFactory.open(journalPath())) {
			tornJournal.truncate(lengthBytes);
		}
	}

	private long journalLengthBytes() {
		return this.journalBytes.getOrDefault(this.journalNumber, 0L);
	}

	private Snapshot readSnapshot() throws IOException, ServiceException {
		Optional<Path> file = newestFile(SNAPSHOT_PREFIX);
		return file.isEmpty() ? Snapshot.empty() : SnapshotFile.readHeader(file.get(),
				(temporary) -> rename(this.folder, temporary, file.get()), this.journalFactory);
	}

	@Override
	public void close() {
		try {
			this.journal.close();
			this.lock.close();
		}
		catch (IOException ex) {
			LOGGER.atWarning().log("event=close_failed cause=\"%s\"", ex.getMessage());
		}
	}

	@Override
	public Set<String> founders() throws ServiceException {
		Path file = this.folder.resolve(FOUNDERS_FILE);
		try {
			return Files.exists(file) ? Set.copyOf(Files.readAllLines(file)) : Set.of();
		}
		catch (IOException ex) {
			throw diskFailure(ex);
		}
	}

	@Override
	public void rememberFounders(Set<String> names) throws ServiceException {
		try {
			writeText(this.folder, this.folder.resolve(FOUNDERS_FILE), String.join("\n", names));
		}
		catch (IOException ex) {
			throw diskFailure(ex);
		}
	}

	@Override
	public void initialize(PersistentState state) throws ServiceException {
		if (this.initialized) {
			throw new IllegalStateException("the data folder is already initialized");
		}
		this.hardState = state.hardState();
		saveSnapshot(state.snapshot(), state.entries());
	}

	@Override
	public boolean isInitialized() {
		return this.initialized;
	}

	@Override
	public long journalBytes() {
		return this.journalBytes.values().stream().mapToLong(Long::longValue).sum();
	}

	@Override
	public PersistentState load() throws ServiceException {
		try {
			PersistentState state = this.recovered;
			this.recovered = null;
			if (state != null) {
				return state;
			}
			return this.initialized ? recover() : PersistentState.empty();
		}
		catch (IOException ex) {
			throw diskFailure(ex);
		}
	}

	@Override
	public void persist(Effects effects) throws ServiceException {
		this.recovered = null;
		for (ConsensusMessage.SnapshotPart part : effects.snapshotParts()) {
			store(part);
		}
		if (effects.hardState() != null) {
			this.hardState = effects.hardState();
		}
		if (effects.snapshot() != null) {
			saveSnapshot(effects.snapshot(), effects.entries());
		}
		else if (effects.needsSync()) {
			append(new Batch(effects.hardState(), -1, 0, effects.truncateFrom(), effects.entries()));
		}
	}

	private void append(Batch batch) throws ServiceException {
		try {
			Snapshot base = this.nextJournalBase;
			if (base != null) {
				startJournal(base, List.of());
				deleteJournalsBefore(this.journalNumber);
			}
			removeUnfinishedJournal();
			cutFailedWrite();
			ByteBuffer record = Records.encode(batch.encode());
			int length = record.remaining();
			this.journal.append(record);
			this.journal.sync();
			this.journalBytes.merge(this.journalNumber, (long) length, Long::sum);
			moveEndTo(batch.entries());
		}
		catch (IOException ex) {
			this.tornByFailedWrite = true;
			throw diskFailure(ex);
		}
	}

	private void cutFailedWrite() throws IOException {
		if (this.tornByFailedWrite) {
			this.journal.truncate(journalLengthBytes());
			this.tornByFailedWrite = false;
		}
	}

	private void store(ConsensusMessage.SnapshotPart part) throws ServiceException {
		try {
			if (part.offset() == 0) {
				discardReceived();
				this.received = ReceivedSnapshot.create(
						this.folder.resolve(RECEIVED_PREFIX + part.snapshot().index() + TEMPORARY_SUFFIX),
						this.journalFactory);
			}
			if (this.received != null) {
				this.received.add(part);
			}
		}
		catch (IOException ex) {
			throw diskFailure(ex);
		}
	}

	private void discardReceived() throws IOException {
		ReceivedSnapshot discarded = this.received;
		this.received = null;
		if (discarded != null) {
			discarded.discard();
		}
	}

	@Override
	public String replicaId() {
		return this.replicaId;
	}

	@Override
	public long startJournal() throws ServiceException {
		try {
			cutFailedWrite();
			if (this.nextJournalBase == null) {
				startJournal(new Snapshot(this.lastIndex, this.lastTerm, Membership.empty(), 0), List.of());
			}
			this.rolledNumber = this.journalNumber;
			return this.lastIndex;
		}
		catch (IOException ex) {
			throw diskFailure(ex);
		}
	}

	@Override
	public Snapshot prepareSnapshot(Snapshot header, SnapshotEncoder encoder) throws ServiceException {
		Path file = snapshotPath(header);
		Path temporaryFile = temporaryFile(file);
		try {
			Files.deleteIfExists(temporaryFile);
			Snapshot written;
			try (Journal output = this.journalFactory.open(temporaryFile)) {
				written = SnapshotFile.write(output, header, encoder);
			}
			rename(this.folder, temporaryFile, file);
			return written;
		}
		catch (IOException ex) {
			throw diskFailure(ex);
		}
		finally {
			deleteQuietly(temporaryFile);
		}
	}

	private static void deleteQuietly(Path file) {
		try {
			Files.deleteIfExists(file);
		}
		catch (IOException ex) {
			LOGGER.atWarning().log("event=delete_failed file=%s cause=\"%s\"", file, ex.getMessage());
		}
	}

	private Path snapshotPath(Snapshot snapshot) {
		return snapshotPath(snapshot.index());
	}

	private Path snapshotPath(long index) {
		return this.folder.resolve(SNAPSHOT_PREFIX + index);
	}

	@Override
	public InputStream openSnapshot(Snapshot snapshot) throws ServiceException {
		try {
			return SnapshotFile.open(snapshotPath(snapshot), snapshot.sizeBytes());
		}
		catch (IOException ex) {
			throw diskFailure(ex);
		}
	}

	@Override
	public byte[] readSnapshotPart(Snapshot snapshot, long offset, int length) throws ServiceException {
		try {
			return SnapshotFile.readPart(snapshotPath(snapshot), offset, length);
		}
		catch (IOException ex) {
			throw diskFailure(ex);
		}
	}

	@Override
	public void commitSnapshot(Snapshot snapshot) throws ServiceException {
		try {
			deleteJournalsBefore(this.rolledNumber);
			deleteOlder(SNAPSHOT_PREFIX, snapshot.index());
		}
		catch (IOException ex) {
			throw diskFailure(ex);
		}
	}

	@Override
	public void saveSnapshot(Snapshot snapshot, List<LogEntry> laterEntries) throws ServiceException {
		this.recovered = null;
		try {
			if (snapshot.index() > 0 && !Files.exists(snapshotPath(snapshot))) {
				finishReceived(snapshot);
			}
			startJournal(snapshot, laterEntries);
			moveEndTo(snapshot.index(), snapshot.term());
			moveEndTo(laterEntries);
			deleteJournalsBefore(this.journalNumber);
			deleteOlder(SNAPSHOT_PREFIX, snapshot.index());
		}
		catch (IOException ex) {
			throw diskFailure(ex);
		}
	}

	private void finishReceived(Snapshot snapshot) throws IOException, ServiceException {
		ReceivedSnapshot complete = this.received;
		this.received = null;
		if (complete == null) {
			throw ServiceException.of(ResultCode.INTERNAL,
					"no part of the snapshot at index " + snapshot.index() + " was received");
		}
		complete.finish(snapshot);
		rename(this.folder, complete.file(), snapshotPath(snapshot));
	}

	private void deleteJournalsBefore(long number) throws IOException {
		deleteOlder(JOURNAL_PREFIX, number);
		this.journalBytes.headMap(number).clear();
	}

	/**
	 * Removes a journal that could not be started. A start would read it behind entries
	 * that were appended to the one before, so nothing is appended until it is gone.
	 */
	private void removeUnfinishedJournal() throws IOException {
		Path unfinished = this.unfinishedJournal;
		if (unfinished != null) {
			Files.deleteIfExists(unfinished);
			syncFolder(this.folder);
			this.unfinishedJournal = null;
		}
	}

	/** Starts a journal after a snapshot, with one record for each of its entries. */
	private void startJournal(Snapshot snapshot, List<LogEntry> laterEntries) throws IOException {
		List<RecordWriter.Payload> batches = new ArrayList<>();
		batches.add(new Batch(this.hardState, snapshot.index(), snapshot.term(), 0, List.of())::encodeTo);
		laterEntries.forEach((entry) -> batches.add(new Batch(null, -1, 0, 0, List.of(entry))::encodeTo));
		removeUnfinishedJournal();
		Path next = journalPath(this.journalNumber + 1);
		long lengthBytes;
		Journal opened;
		try {
			this.unfinishedJournal = next;
			lengthBytes = writeAtomically(next, batches);
			opened = this.journalFactory.open(next);
		}
		catch (IOException ex) {
			removeUnfinishedJournal();
			throw ex;
		}
		this.unfinishedJournal = null;
		this.journal.close();
		this.journal = opened;
		this.journalNumber++;
		this.journalBytes.put(this.journalNumber, lengthBytes);
		this.tornByFailedWrite = false;
		this.nextJournalBase = null;
		this.initialized = true;
	}

	private void deleteOlder(String prefix, long number) throws IOException {
		try (Stream<Path> files = Files.list(this.folder)) {
			for (Path file : files.filter((path) -> isNumbered(path, prefix)).toList()) {
				if (numberOf(file, prefix) < number) {
					Files.deleteIfExists(file);
				}
			}
		}
	}

	private Path journalPath() {
		return journalPath(this.journalNumber);
	}

	private Path journalPath(long number) {
		return this.folder.resolve(JOURNAL_PREFIX + number);
	}

	private Optional<Path> newestFile(String prefix) throws IOException {
		try (Stream<Path> files = Files.list(this.folder)) {
			return files.filter((path) -> isNumbered(path, prefix))
				.max(Comparator.comparingLong((path) -> numberOf(path, prefix)));
		}
	}

	private static boolean isNumbered(Path file, String prefix) {
		String name = file.getFileName().toString();
		return name.startsWith(prefix) && !name.endsWith(TEMPORARY_SUFFIX);
	}

	private static long numberOf(Path file, String prefix) {
		return Long.parseLong(file.getFileName().toString().substring(prefix.length()));
	}

}

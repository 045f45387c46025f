package fulmarentry

// Sign gives tests the proof of a peer.
var Sign = sign

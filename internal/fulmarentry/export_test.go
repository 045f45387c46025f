package fulmarentry

// Sign exports sign for tests.
var Sign = sign

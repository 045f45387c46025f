package fulmarbatch

// Collect returns first and all items that wait in the queue now. It does not wait for further ones.
func Collect[T any](first T, queue <-chan T) []T {
	list := []T{first}
	for {
		select {
		case item := <-queue:
			list = append(list, item)
		default:
			return list
		}
	}
}

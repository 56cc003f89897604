# Reads the output of go test -bench and prints for each benchmark and unit the
# mean, the least and the greatest value of its runs.
/^Benchmark/ {
	name = $1
	sub(/^Benchmark/, "", name)
	sub(/-[0-9]+$/, "", name)
	for (i = 3; i < NF; i += 2) {
		value = $i + 0
		unit = $(i + 1)
		if (unit == "ns/op" && value == 0) continue
		key = name SUBSEP unit
		if (!(key in runs)) {
			order[++keys] = key
			least[key] = greatest[key] = value
		}
		runs[key]++
		sum[key] += value
		if (value < least[key]) least[key] = value
		if (value > greatest[key]) greatest[key] = value
	}
}
/^(FAIL|panic)/ { failed = 1; print }
END {
	print "| benchmark | unit | mean | least | greatest | runs |"
	print "|---|---|---|---|---|---|"
	for (i = 1; i <= keys; i++) {
		key = order[i]
		split(key, part, SUBSEP)
		printf "| %s | %s | %.4g | %.4g | %.4g | %d |\n", part[1], part[2], sum[key] / runs[key], least[key], greatest[key], runs[key]
	}
	exit failed
}
